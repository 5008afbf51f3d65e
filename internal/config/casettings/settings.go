// Package casettings holds the settings of one entry process: its identity,
// addresses, the addresses of the platform, TLS files, timeouts and limits.
package casettings

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/config/cadocument"
	"celeryarch.example/celeryarch/internal/config/camerge"
	"celeryarch.example/celeryarch/internal/config/caproblem"
)

// Settings are the settings of one entry.
type Settings struct {
	VM        cawork.VMID     `json:"vm"`
	Zone      cawork.ZoneName `json:"zone"`
	Addresses Addresses       `json:"addresses"`
	// Seeds are the peer addresses of the entries to contact first.
	Seeds    []string `json:"seeds"`
	Platform Platform `json:"platform"`
	TLS      TLS      `json:"tls"`
	Timeouts Timeouts `json:"timeouts"`
	Limits   Limits   `json:"limits"`
	LogLevel LogLevel `json:"log_level"`
	// Processors is the maximum number of processors that the entry uses; 0
	// allows all that the VM or its CPU quota provides. While its load is low,
	// the entry uses one.
	Processors int `json:"processors"`
}

// Addresses are the host:port pairs that the entry listens on.
type Addresses struct {
	// API serves callers.
	API string `json:"api"`
	// Peer serves the other entries.
	Peer string `json:"peer"`
	// Operators serves status and metrics.
	Operators string `json:"operators"`
}

// Platform gives the URLs of the services of the platform.
type Platform struct {
	Log    string `json:"log"`
	VMList string `json:"vm_list"`
}

// TLS holds the names of the PEM files for the connections between entries.
// Insecure must be set to run without TLS.
type TLS struct {
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
	CA          string `json:"ca"`
	Insecure    bool   `json:"insecure"`
}

// Timeouts bound how long the entry waits.
type Timeouts struct {
	// Header is the time for the header of a request to arrive.
	Header time.Duration `json:"header"`
	// Body is the time for the body of a request to arrive.
	Body time.Duration `json:"body"`
	// Request is the longest time that a request of a caller may take.
	Request time.Duration `json:"request"`
	// Idle is the time after which an idle connection is closed.
	Idle time.Duration `json:"idle"`
	// Peer is the timeout of a call to another entry.
	Peer time.Duration `json:"peer"`
	// Platform is the timeout of a call to the platform.
	Platform time.Duration `json:"platform"`
	// Drain is the longest time that a shutdown waits for requests in progress.
	Drain time.Duration `json:"drain"`
}

// Limits bound what a caller may send.
type Limits struct {
	Body        cawork.Bytes `json:"body"`
	Header      cawork.Bytes `json:"header"`
	Connections int          `json:"connections"`
}

// LogLevel is the lowest level that is logged.
type LogLevel struct {
	zerolog.Level
}

var logLevels = []zerolog.Level{
	zerolog.TraceLevel, zerolog.DebugLevel, zerolog.InfoLevel, zerolog.WarnLevel, zerolog.ErrorLevel,
}

// MarshalText implements encoding.TextMarshaler.
func (l LogLevel) MarshalText() ([]byte, error) { return []byte(l.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (l *LogLevel) UnmarshalText(text []byte) error {
	var names []string
	for _, level := range logLevels {
		if level.String() == string(text) {
			l.Level = level
			return nil
		}
		names = append(names, level.String())
	}
	return fmt.Errorf("must be one of %s, not %q", strings.Join(names, ", "), text)
}

// Default returns the values of settings that a file omits.
func Default() Settings {
	return Settings{
		Timeouts: Timeouts{
			Header:   5 * time.Second,
			Body:     30 * time.Second,
			Request:  60 * time.Second,
			Idle:     2 * time.Minute,
			Peer:     time.Second,
			Platform: 2 * time.Second,
			Drain:    60 * time.Second,
		},
		Limits:   Limits{Body: 64 * cawork.MiB, Header: 16 * cawork.KiB, Connections: 4096},
		LogLevel: LogLevel{zerolog.InfoLevel},
	}
}

// Load reads settings from a file, or from a folder of files that are merged
// in the order of their names.
func Load(path string) (Settings, error) {
	node, problems := readDocument(path)
	if err := problems.Err(); err != nil {
		return Settings{}, err
	}
	return FromNode(node)
}

func readDocument(path string) (camerge.Node, caproblem.List) {
	info, err := os.Stat(path)
	if err != nil {
		return camerge.Node{}, caproblem.List{{At: caproblem.Position{File: path}, Reason: "cannot be read: " + errorReason(err)}}
	}
	if info.IsDir() {
		return camerge.Folder(os.DirFS(path))
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return camerge.Node{}, caproblem.List{{At: caproblem.Position{File: path}, Reason: "cannot be read: " + errorReason(err)}}
	}
	return camerge.Parse(filepath.Base(path), data)
}

func errorReason(err error) string {
	if p, ok := err.(*os.PathError); ok {
		return p.Err.Error()
	}
	return err.Error()
}

// FromNode decodes and validates settings from a document. The error lists all problems.
func FromNode(n camerge.Node) (Settings, error) {
	s := Default()
	problems := cadocument.Decode(n, &s)
	if len(problems) == 0 {
		problems = s.check(n)
	}
	if err := problems.Err(); err != nil {
		return Settings{}, err
	}
	return s, nil
}
