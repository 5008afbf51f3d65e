package caoption

import (
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jessevdk/go-flags"

	"celeryarch.example/celeryarch/internal/base/cawork"
)

// optionsByCommand returns the option names of each command without subcommands. The
// key "" holds the global options.
func optionsByCommand() map[string][]string {
	all := map[string][]string{}
	collectOptions(all, "", newParser(new(Options)).Command)
	return all
}

func collectOptions(all map[string][]string, name string, c *flags.Command) {
	if name == "" || len(c.Commands()) == 0 {
		all[name] = groupOptions(c.Group)
	}
	for _, sub := range c.Commands() {
		collectOptions(all, strings.TrimSpace(name+" "+sub.Name), sub)
	}
}

func groupOptions(g *flags.Group) []string {
	names := []string{}
	for _, o := range g.Options() {
		names = append(names, o.LongName)
	}
	for _, sub := range g.Groups() {
		names = append(names, groupOptions(sub)...)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

var optionPattern = regexp.MustCompile(`--([a-z-]+)`)

func optionNamesIn(text string) []string {
	names := []string{}
	for _, m := range optionPattern.FindAllStringSubmatch(text, -1) {
		names = append(names, m[1])
	}
	slices.Sort(names)
	return slices.Compact(names)
}

func TestManPageListsTheOptionsOfEachCommand(t *testing.T) {
	page, err := os.ReadFile("../../../docs/man/celeryarch.1")
	if err != nil {
		t.Fatal(err)
	}
	text := strings.ReplaceAll(string(page), `\-`, "-")
	_, global, _ := strings.Cut(text, ".SH GLOBAL OPTIONS")
	global, commands, _ := strings.Cut(global, ".SH COMMANDS")
	commands, _, _ = strings.Cut(commands, ".SH EXIT STATUS")
	got := map[string][]string{"": optionNamesIn(global)}
	for _, section := range strings.Split(commands, "\n.SS ")[1:] {
		name, body, _ := strings.Cut(section, "\n")
		got[name] = optionNamesIn(body)
	}
	if diff := cmp.Diff(optionsByCommand(), got); diff != "" {
		t.Error(diff)
	}
}

func TestHelpListsAllCommandsAndOptions(t *testing.T) {
	var want []string
	for command, options := range optionsByCommand() {
		want = append(want, options...)
		if !strings.Contains(Help, "\n  "+command) {
			t.Errorf("command %q is missing", command)
		}
	}
	slices.Sort(want)
	if diff := cmp.Diff(slices.Compact(want), optionNamesIn(Help)); diff != "" {
		t.Error(diff)
	}
	for i, line := range strings.Split(Help, "\n") {
		if len(line) > 80 {
			t.Errorf("line %d has %d characters", i+1, len(line))
		}
	}
}

func TestParse(t *testing.T) {
	o, err := Parse([]string{
		"--json", "submit", "--kind=gang", "--tasks=3", "--processors=0.25", "--memory=2GiB", "--run-time=5m",
		"--entry=http://e", "--urgent",
	})
	if err != nil {
		t.Fatal(err)
	}
	size := cawork.Resources{CPU: 250, Memory: 2 * cawork.GiB}
	got := []any{o.JSON, o.Command, o.Submit.Kind, o.Submit.Tasks, o.Submit.Size.Resources(), o.Submit.RunTime, o.Submit.EntryURL, o.Submit.Urgent}
	want := []any{true, "submit", WorkKind(cawork.WorkKindGang), 3, size, 5 * time.Minute, "http://e", true}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
	o, err = Parse([]string{"config", "publish", "--base=7", "cell"})
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]any{"config publish", int64(7), "cell"}, []any{o.Command, *o.Config.Publish.Base, o.Config.Publish.Args.Dir}); diff != "" {
		t.Error(diff)
	}
}

func TestParseErrors(t *testing.T) {
	tests := []struct {
		args string
		want string
	}{
		{"", "a command is missing; see celeryarch --help"},
		{"config", "a command is missing; see celeryarch --help"},
		{"config check", "the required argument `DIR` was not provided"},
		{"config check a b", "unexpected argument b"},
		{"entry", "the required flag `--settings' was not specified"},
		{"status --colour", "unknown flag `colour'"},
		{"submit --memory=2GB", "invalid argument for flag `--memory': unit \"GB\" of \"2GB\" is not one of B, KiB, MiB, GiB, TiB"},
		{"submit --kind=bulk", "invalid argument for flag `--kind': must be one of lookup, batch, service, gang"},
		{"get j --wait=5", "invalid argument for flag `--wait': time: missing unit in duration \"5\""},
	}
	for _, test := range tests {
		_, err := Parse(strings.Fields(test.args))
		if err == nil {
			t.Errorf("%q accepted", test.args)
			continue
		}
		if diff := cmp.Diff(test.want, err.Error()); diff != "" {
			t.Errorf("%q: %s", test.args, diff)
		}
	}
}
