package main

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/laureltally/laureltally/audit"
	"github.com/laureltally/laureltally/document"
	"github.com/laureltally/laureltally/drain"
	"github.com/laureltally/laureltally/metastore"
)

// auditCommand lists audit records. It first writes the copies that are missing
// after a crash.
type auditCommand struct {
	platformFlags
	jsonFlag
	From  string `arg:"--from" placeholder:"TIME" help:"start of the time range, inclusive, for example 2026-12-03T10:00:00Z"`
	To    string `arg:"--to" placeholder:"TIME" help:"end of the time range, exclusive"`
	Actor string `arg:"--actor" placeholder:"NAME" help:"list only the changes of this operator"`
}

func (c *auditCommand) run(ctx context.Context, stdout, _ io.Writer) error {
	out := &output{w: stdout}
	q, err := c.query()
	if err != nil {
		return err
	}
	client, err := c.client()
	if err != nil {
		return err
	}
	defer client.Close()
	if err := c.repair(ctx, client); err != nil {
		return err
	}
	records, err := audit.Read(ctx, client, q)
	if err != nil {
		return err
	}
	if c.JSON {
		return out.json(append([]audit.Record{}, records...))
	}
	return out.table(auditRows(records))
}

func (c *auditCommand) query() (audit.Query, error) {
	q := audit.Query{Environment: c.Environment, Actor: c.Actor}
	var err error
	if q.From, err = parseTime("--from", c.From); err != nil {
		return q, err
	}
	q.To, err = parseTime("--to", c.To)
	return q, err
}

func parseTime(flag, text string) (time.Time, error) {
	if text == "" {
		return time.Time{}, nil
	}
	t, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return t, &usageError{detail: fmt.Sprintf("%s %q is not an RFC 3339 time such as 2026-12-03T10:00:00Z", flag, text)}
	}
	return t, nil
}

func (c *auditCommand) repair(ctx context.Context, s metastore.Store) error {
	if _, err := document.New(document.Options{Store: s}).Repair(ctx, c.Environment); err != nil {
		return err
	}
	return drain.New(drain.Options{Store: s}).Repair(ctx)
}

func auditRows(records []audit.Record) [][]string {
	rows := [][]string{{"TIME", "ACTOR", "ACTION", "SUBJECT", "VERSION", "CHANGES", "REASON"}}
	for _, r := range records {
		version, changes := "", ""
		if r.Version != 0 {
			version = fmt.Sprintf("%d -> %d", r.Previous, r.Version)
			changes = fmt.Sprint(len(r.Changes))
		}
		if r.Truncated {
			changes += "+"
		}
		rows = append(rows, []string{r.Time.UTC().Format(time.RFC3339), r.Actor, string(r.Action), r.Subject, version, changes, r.Reason})
	}
	return rows
}
