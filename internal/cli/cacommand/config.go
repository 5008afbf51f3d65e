package cacommand

import (
	"bytes"
	"context"
	"fmt"
	"os"

	"github.com/google/uuid"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/cli/caclient"
	"celeryarch.example/celeryarch/internal/cli/caoption"
	"celeryarch.example/celeryarch/internal/config/cacell"
	"celeryarch.example/celeryarch/internal/coord/cafollow"
)

// checkResult is the output of config check.
type checkResult struct {
	Hash   string `json:"hash"`
	Zones  int    `json:"zones"`
	Teams  int    `json:"teams"`
	Keys   int    `json:"keys"`
	Queues int    `json:"queues"`
}

func (c command) configCheck(o caoption.ConfigCheck) error {
	config, err := loadCell(o.Args.Dir)
	if err != nil {
		return err
	}
	result := checkResult{
		Hash:   config.Hash(),
		Zones:  len(config.Zones()),
		Teams:  len(config.Teams()),
		Keys:   len(config.Keys()),
		Queues: len(config.Queues()),
	}
	c.print(result, fmt.Sprintf("ok: %d zones, %d teams, %d keys, %d open queues, hash %.12s",
		result.Zones, result.Teams, result.Keys, result.Queues, result.Hash))
	return nil
}

func loadCell(dir string) (cacell.Config, error) {
	return cacell.Load(os.DirFS(dir))
}

// diffResult is the output of config diff.
type diffResult struct {
	// Version is the version in force, on which a publication is based.
	Version cafollow.Version `json:"version"`
	Changes []cacell.Change  `json:"changes"`
}

func (c command) configDiff(o caoption.ConfigDiff) error {
	next, err := c.loadCandidate(o.Args.Dir, o.LogService)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(c.ctx, o.Timeout)
	defer cancel()
	current, err := next.publisher.Current(ctx)
	if err != nil {
		return err
	}
	currentConfig, err := decodeSnapshot(current)
	if err != nil {
		return err
	}
	result := diffResult{Version: current.Version, Changes: cacell.Diff(currentConfig, next.config)}
	lines := []string{fmt.Sprintf("%d changes to version %d", len(result.Changes), result.Version)}
	for _, change := range result.Changes {
		lines = append(lines, change.String())
	}
	c.print(result, lines...)
	return nil
}

// candidate is a validated configuration with the publisher of its log.
type candidate struct {
	config    cacell.Config
	publisher cafollow.Publisher
}

func (c command) loadCandidate(dir string, o caoption.LogService) (candidate, error) {
	config, err := loadCell(dir)
	if err != nil {
		return candidate{}, err
	}
	publisher, err := c.newPublisher(o)
	if err != nil {
		return candidate{}, err
	}
	return candidate{config, publisher}, nil
}

// decodeSnapshot decodes a configuration. Version 0 is the empty configuration.
func decodeSnapshot(s cafollow.Snapshot) (cacell.Config, error) {
	if s.Version == 0 {
		return cacell.Config{}, nil
	}
	config, err := cacell.Decode(s.Body)
	if err != nil {
		return cacell.Config{}, cakind.Wrap(cakind.KindInternal, err, "this program cannot decode version %d", s.Version)
	}
	return config, nil
}

func (c command) newPublisher(o caoption.LogService) (cafollow.Publisher, error) {
	if o.LogURL == "" {
		return cafollow.Publisher{}, cakind.New(cakind.KindInvalid, "give the log service with --log URL or CELERYARCH_LOG")
	}
	return cafollow.Publisher{Log: c.runners.Log(o.LogURL), Topic: cacell.Topic}, nil
}

// publishResult is the output of config publish.
type publishResult struct {
	Accepted bool              `json:"accepted"`
	Version  cafollow.Version  `json:"version"`
	ChangeID cafollow.ChangeID `json:"change_id,omitempty"`
}

func (c command) configPublish(o caoption.ConfigPublish) error {
	next, err := c.loadCandidate(o.Args.Dir, o.LogService)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(c.ctx, o.Timeout)
	defer cancel()
	id := cafollow.ChangeID(o.ChangeID)
	if id == "" {
		id = cafollow.ChangeID(uuid.NewString())
	}
	result, err := publish(ctx, next.publisher, o, id, next.config.Encode())
	if err != nil {
		return err
	}
	return c.reportPublish(o, result)
}

// publish publishes the configuration and returns the result. A configuration that
// is already in force is accepted without a new version.
func publish(ctx context.Context, p cafollow.Publisher, o caoption.ConfigPublish, id cafollow.ChangeID, body []byte) (cafollow.Result, error) {
	if o.Reset {
		return p.Reset(ctx, cafollow.Reset{ID: id, Body: body})
	}
	current, err := p.Current(ctx)
	if err != nil {
		return cafollow.Result{}, err
	}
	base := current.Version
	if o.Base != nil {
		base = cafollow.Version(*o.Base)
	}
	if base == current.Version && bytes.Equal(body, current.Body) {
		return cafollow.Result{Accepted: true, Version: current.Version, Winner: current.ChangeID}, nil
	}
	result, err := p.Publish(ctx, cafollow.Change{ID: id, Base: base, Body: body})
	if err == nil && !result.Accepted {
		err = cakind.New(cakind.KindStaleVersion,
			"conflict: the change is based on version %d, but version %d of change %s is in force; look at it with config diff",
			base, result.Version, result.Winner)
	}
	return result, err
}

func (c command) reportPublish(o caoption.ConfigPublish, r cafollow.Result) error {
	lines := []string{fmt.Sprintf("version %d is accepted", r.Version)}
	var err error
	if o.Wait > 0 {
		ctx, cancel := context.WithTimeout(c.ctx, o.Wait)
		defer cancel()
		var entries int
		entries, err = awaitVersion(ctx, caclient.Client{BaseURL: o.Operators.OperatorsURL}, r.Version)
		if err == nil {
			lines = append(lines, fmt.Sprintf("in force in all %d entries", entries))
		}
	}
	c.print(publishResult{Accepted: true, Version: r.Version, ChangeID: r.Winner}, lines...)
	return err
}
