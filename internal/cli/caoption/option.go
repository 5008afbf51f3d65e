// Package caoption declares the commands and options of the command line.
package caoption

import (
	"errors"
	"regexp"
	"strings"
	"time"

	"github.com/jessevdk/go-flags"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/config/cadocument"
)

// Options are all commands with their options. Command names the command that was
// given.
type Options struct {
	Help    bool `short:"h" long:"help"`
	Version bool `long:"version"`
	JSON    bool `long:"json"`

	Demo    Demo    `command:"demo"`
	Entry   Entry   `command:"entry"`
	Node    Node    `command:"node"`
	Soak    Soak    `command:"soak"`
	Standin Standin `command:"standin"`
	Config  Config  `command:"config"`
	Key     Key     `command:"key"`
	Status  Status  `command:"status"`
	Submit  Submit  `command:"submit"`
	Get     Get     `command:"get"`
	Cancel  Cancel  `command:"cancel"`
	Load    Load    `command:"load"`
	Explain Explain `command:"explain"`
	// CheckPolicy is the command check-policy.
	CheckPolicy CheckPolicy `command:"check-policy"`

	// Command is the command that was given, such as "config publish".
	Command string
}

// Demo are the options of the command demo.
type Demo struct {
	API       string `long:"api" default:"127.0.0.1:7100" value-name:"ADDRESS"`
	Upstreams int    `long:"upstreams" default:"4" value-name:"N"`
}

// Node are the options of the command node.
type Node struct {
	Settings  string `long:"settings" value-name:"PATH"`
	Advertise string `long:"advertise" value-name:"ADDRESS"`
	Metrics   string `long:"metrics" value-name:"PORT"`
	Check     bool   `long:"check"`
}

// Soak are the options of the command soak.
type Soak struct {
	Seed      int64         `long:"seed" default:"1" value-name:"N"`
	Seeds     int           `long:"seeds" default:"1" value-name:"N"`
	Parallel  int           `long:"together" default:"1" value-name:"N"`
	Duration  time.Duration `long:"during" default:"20s" value-name:"TIME"`
	Nodes     int           `long:"nodes" default:"5" value-name:"N"`
	Upstreams int           `long:"upstreams" default:"8" value-name:"N"`
	Shards    int           `long:"shards" default:"0" value-name:"N"`
	Plain     bool          `long:"plain"`
	Dir       string        `long:"dir" value-name:"PATH"`
	Previous  string        `long:"previous" value-name:"PATH"`
	Load      string        `long:"load" value-name:"PATH"`
	Planned   bool          `long:"planned"`
	Program   string        `long:"program" value-name:"PATH"`
}

// Entry are the options of the command entry.
type Entry struct {
	Settings string `long:"settings" required:"true" value-name:"PATH"`
}

// Standin are the commands that run a stand-in of one part of the platform.
type Standin struct {
	Log      StandinLog      `command:"log"`
	VMs      StandinVMs      `command:"vms"`
	Upstream StandinUpstream `command:"upstream"`
}

// StandinLog are the options of the command standin log.
type StandinLog struct {
	Listen    string        `long:"listen" required:"true" value-name:"ADDRESS"`
	Retention time.Duration `long:"retention" default:"1h" value-name:"TIME"`
}

// StandinVMs are the options of the command standin vms.
type StandinVMs struct {
	Listen string        `long:"listen" required:"true" value-name:"ADDRESS"`
	File   string        `long:"file" required:"true" value-name:"PATH"`
	Lag    time.Duration `long:"lag" default:"1s" value-name:"TIME"`
}

// StandinUpstream are the options of the command standin upstream.
type StandinUpstream struct {
	Listen          string `long:"listen" required:"true" value-name:"ADDRESS"`
	ID              string `long:"id" required:"true" value-name:"ID"`
	Zone            string `long:"zone" required:"true" value-name:"ZONE"`
	Rack            string `long:"rack" value-name:"RACK"`
	Size            Size   `group:"size"`
	AcceleratorKind string `long:"accelerator-kind" value-name:"KIND"`
	Slots           int    `long:"slots" default:"8" value-name:"N"`
	Connections     int    `long:"connections" default:"64" value-name:"N"`
}

// Size is an amount of processors, memory and accelerators.
type Size struct {
	Processors   float64 `long:"processors" default:"1" value-name:"CORES"`
	Memory       Bytes   `long:"memory" default:"256MiB" value-name:"BYTES"`
	Accelerators int64   `long:"accelerators" default:"0" value-name:"N"`
}

// milliPerCore is the number of thousandths in a core.
const milliPerCore = 1000

// Resources converts the size to cawork.Resources.
func (s Size) Resources() cawork.Resources {
	return cawork.Resources{
		CPU:          cawork.MilliCPU(s.Processors*milliPerCore + 0.5),
		Memory:       cawork.Bytes(s.Memory),
		Accelerators: s.Accelerators,
	}
}

// Bytes is an amount of memory, written with its unit.
type Bytes cawork.Bytes

// UnmarshalFlag implements flags.Unmarshaler.
func (b *Bytes) UnmarshalFlag(text string) error {
	value, err := cadocument.ParseBytes(text)
	*b = Bytes(value)
	return err
}

// WorkKind is a kind of work, given by its name.
type WorkKind cawork.WorkKind

// UnmarshalFlag implements flags.Unmarshaler.
func (k *WorkKind) UnmarshalFlag(text string) error {
	value, err := cawork.WorkKindString(text)
	if err != nil {
		return errors.New("must be one of " + strings.Join(cawork.WorkKindStrings(), ", "))
	}
	*k = WorkKind(value)
	return nil
}

// LogService are the options that select the log service of the platform.
type LogService struct {
	LogURL  string        `long:"log" env:"CELERYARCH_LOG" value-name:"URL"`
	Timeout time.Duration `long:"timeout" default:"30s" value-name:"TIME"`
}

// API are the options that select an entry, with the key or queue for its calls.
type API struct {
	EntryURL string        `long:"entry" env:"CELERYARCH_ENTRY" default:"http://127.0.0.1:7100" value-name:"URL"`
	Key      string        `long:"key" env:"CELERYARCH_KEY" value-name:"KEY"`
	Queue    string        `long:"queue" value-name:"NAME"`
	Timeout  time.Duration `long:"timeout" default:"30s" value-name:"TIME"`
}

// Operators is the option with the URL at which an entry serves operators.
type Operators struct {
	OperatorsURL string `long:"operators" env:"CELERYARCH_OPERATORS" default:"http://127.0.0.1:7102" value-name:"URL"`
}

// Config are the commands on a folder of configuration.
type Config struct {
	Check   ConfigCheck   `command:"check"`
	Diff    ConfigDiff    `command:"diff"`
	Publish ConfigPublish `command:"publish"`
}

// ConfigFolder is the argument that names a folder of configuration.
type ConfigFolder struct {
	Dir string `positional-arg-name:"DIR"`
}

// ConfigCheck are the options of the command config check.
type ConfigCheck struct {
	Args ConfigFolder `positional-args:"yes" required:"yes"`
}

// ConfigDiff are the options of the command config diff.
type ConfigDiff struct {
	LogService
	Args ConfigFolder `positional-args:"yes" required:"yes"`
}

// ConfigPublish are the options of the command config publish.
type ConfigPublish struct {
	LogService
	Base     *int64 `long:"base" value-name:"VERSION"`
	ChangeID string `long:"change-id" value-name:"ID"`
	Reset    bool   `long:"reset"`
	// Wait is how long to wait until the version is in force in all entries
	// listed in the status at OperatorsURL.
	Wait time.Duration `long:"wait" value-name:"TIME"`
	Operators
	Args ConfigFolder `positional-args:"yes" required:"yes"`
}

// Key are the commands on keys.
type Key struct {
	New      KeyNew      `command:"new"`
	Withdraw KeyWithdraw `command:"withdraw"`
}

// KeyNew are the options of the command key new.
type KeyNew struct {
	Team string `long:"team" required:"true" value-name:"TEAM"`
	Dir  string `long:"dir" value-name:"DIR"`
}

// KeyWithdraw are the options of the command key withdraw.
type KeyWithdraw struct {
	Dir  string `long:"dir" required:"true" value-name:"DIR"`
	Args KeyID  `positional-args:"yes" required:"yes"`
}

// KeyID is the argument that names a key.
type KeyID struct {
	ID string `positional-arg-name:"KEY_ID"`
}

// Status are the options of the command status.
type Status struct {
	Operators
	Timeout time.Duration `long:"timeout" default:"30s" value-name:"TIME"`
}

// Submit are the options of the command submit.
type Submit struct {
	API
	Kind            WorkKind      `long:"kind" default:"batch" value-name:"KIND"`
	Tasks           int           `long:"tasks" default:"1" value-name:"N"`
	Size            Size          `group:"size"`
	RunTime         time.Duration `long:"run-time" value-name:"TIME"`
	Deadline        time.Duration `long:"deadline" value-name:"TIME"`
	Urgent          bool          `long:"urgent"`
	Idempotent      bool          `long:"idempotent"`
	MaxAttempts     int           `long:"max-attempts" value-name:"N"`
	Zone            string        `long:"zone" value-name:"ZONE"`
	Rack            string        `long:"rack" value-name:"RACK"`
	AcceleratorKind string        `long:"accelerator-kind" value-name:"KIND"`
	Payload         string        `long:"payload" value-name:"JSON" unquote:"false"`
	IdempotencyKey  string        `long:"idempotency-key" value-name:"ID"`
	Wait            time.Duration `long:"wait" value-name:"TIME"`
}

// JobID is the argument that names a job.
type JobID struct {
	ID string `positional-arg-name:"JOB_ID"`
}

// Get are the options of the command get.
type Get struct {
	API
	Wait time.Duration `long:"wait" value-name:"TIME"`
	Args JobID         `positional-args:"yes" required:"yes"`
}

// Cancel are the options of the command cancel.
type Cancel struct {
	API
	Args JobID `positional-args:"yes" required:"yes"`
}

// Load are the options of the command load.
type Load struct {
	API
	Rate        float64       `long:"rate" default:"100" value-name:"PER_SECOND"`
	Duration    time.Duration `long:"duration" default:"10s" value-name:"TIME"`
	Concurrency int           `long:"concurrency" default:"64" value-name:"N"`
	Kind        WorkKind      `long:"kind" default:"lookup" value-name:"KIND"`
	Seed        int64         `long:"seed" default:"1" value-name:"N"`
}

// Explain are the options of the command explain.
type Explain struct {
	Job    string        `long:"job" value-name:"ID"`
	Queue  string        `long:"queue" value-name:"NAME"`
	Team   string        `long:"team" value-name:"TEAM"`
	From   time.Duration `long:"from" value-name:"TIME"`
	To     time.Duration `long:"to" value-name:"TIME"`
	Window time.Duration `long:"window" default:"10s" value-name:"TIME"`
	Args   LogFiles      `positional-args:"yes" required:"yes"`
}

// CheckPolicy are the options of the command check-policy.
type CheckPolicy struct {
	InForce string        `long:"in-force" value-name:"PATH"`
	Metrics []string      `long:"metrics" value-name:"URL"`
	Timeout time.Duration `long:"timeout" default:"5s" value-name:"TIME"`
	Args    PolicyFile    `positional-args:"yes" required:"yes"`
}

// PolicyFile is the argument that names a file with a configuration as operators write it to the store.
type PolicyFile struct {
	Path string `positional-arg-name:"FILE" required:"yes"`
}

// LogFiles is the argument that names log files, - for standard input.
type LogFiles struct {
	Paths []string `positional-arg-name:"LOG" required:"1"`
}

// programName is the program name in messages.
const programName = "celeryarch"

// Parse reads the arguments after the name of the program. It returns a
// usage error if they are invalid.
func Parse(args []string) (Options, error) {
	var o Options
	parser := newParser(&o)
	extra, err := parser.ParseArgs(args)
	o.Command = activeCommand(parser)
	if o.Help || o.Version {
		return o, nil
	}
	if err != nil {
		return o, usageError(err)
	}
	if len(extra) > 0 {
		return o, errors.New("unexpected argument " + extra[0])
	}
	return o, nil
}

func newParser(o *Options) *flags.Parser {
	parser := flags.NewNamedParser(programName, flags.PassDoubleDash)
	if _, err := parser.AddGroup("Options", "", o); err != nil {
		panic("caoption: " + err.Error())
	}
	return parser
}

func activeCommand(p *flags.Parser) string {
	var names []string
	for c := p.Active; c != nil; c = c.Active {
		names = append(names, c.Name)
	}
	return strings.Join(names, " ")
}

// expectedTypePattern matches the Go type that the library adds to its messages.
var expectedTypePattern = regexp.MustCompile(` \(expected [a-z]+\.[A-Za-z]+\)`)

func usageError(err error) error {
	var flagsErr *flags.Error
	if errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrCommandRequired {
		return errors.New("a command is missing; see celeryarch --help")
	}
	return errors.New(expectedTypePattern.ReplaceAllString(err.Error(), ""))
}
