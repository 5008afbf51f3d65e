package cacommand

import (
	"io"
	"os"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/cli/caexplain"
	"celeryarch.example/celeryarch/internal/cli/caloglines"
	"celeryarch.example/celeryarch/internal/cli/caoption"
)

// stdinPath is the path that stands for standard input.
const stdinPath = "-"

// explain reports on jobs from the logs of entries.
func (c command) explain(o caoption.Explain) error {
	logs, closeAll, err := openLogs(o.Args.Paths)
	if err != nil {
		return err
	}
	defer closeAll()
	reader := caloglines.NewReader(logs...)
	if o.Job != "" {
		return c.explainJob(reader, o.Job)
	}
	filter := caexplain.Filter{Queue: o.Queue, Team: o.Team, From: o.From, To: o.To}
	account, err := caexplain.Summarize(reader, filter, o.Window)
	if err != nil {
		return cakind.Wrap(cakind.KindInvalid, err, "read logs")
	}
	if c.options.JSON {
		c.printJSON(account)
		return nil
	}
	return account.WriteText(c.Stdout)
}

func (c command) explainJob(reader *caloglines.Reader, id string) error {
	history, found, err := caexplain.ReadHistory(reader, id)
	switch {
	case err != nil:
		return cakind.Wrap(cakind.KindInvalid, err, "read logs")
	case !found:
		return cakind.New(cakind.KindNotFound, "the logs have no line about job %s", id)
	case c.options.JSON:
		c.printJSON(history)
		return nil
	}
	return history.WriteText(c.Stdout)
}

// openLogs opens the logs and returns a function that closes them.
func openLogs(paths []string) ([]caloglines.Log, func(), error) {
	var logs []caloglines.Log
	var files []io.Closer
	closeAll := func() {
		for _, f := range files {
			_ = f.Close()
		}
	}
	for _, path := range paths {
		if path == stdinPath {
			logs = append(logs, caloglines.Log{Name: path, Content: os.Stdin})
			continue
		}
		f, err := os.Open(path)
		if err != nil {
			closeAll()
			return nil, nil, cakind.Wrap(cakind.KindInvalid, err, "open log")
		}
		files = append(files, f)
		logs = append(logs, caloglines.Log{Name: path, Content: f})
	}
	return logs, closeAll, nil
}
