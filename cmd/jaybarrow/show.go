package main

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/jaybarrow/jaybarrow/pkg/client"
)

// printResult prints a result as JSON if asked to or if it has no table, the body of a request's answer unchanged, and any other result
// as a table.
func printResult(w io.Writer, asJSON bool, out any) error {
	if answer, ok := out.(client.Answer); ok && !asJSON {
		_, err := w.Write(answer.Body)
		return err
	}
	rows, ok := tableRows(out)
	if asJSON || !ok {
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", "  ")
		return encoder.Encode(out)
	}
	columns := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		fmt.Fprintln(columns, strings.Join(row, "\t"))
	}
	return columns.Flush()
}

// tableRows returns the rows of a result's table, or false if the result has none and is printed as JSON.
func tableRows(out any) ([][]string, bool) {
	switch v := out.(type) {
	case client.Changed:
		return [][]string{{"revision " + fmt.Sprint(v.Revision)}}, true
	case client.KeyAdded:
		return [][]string{
			row("secret (shown once)", v.Secret), row("hash", v.Hash), row("team", v.Team), row("revision", v.Revision),
		}, true
	case client.Limit:
		return limitRows(v), true
	case []client.Team:
		return rowsOf(row("TEAM", "SHARE", "LIMIT", "GRANTED", "IN FORCE", "REVISION", "LIMIT REVISION"), v, func(t client.Team) []string {
			return row(t.ID, t.Share, t.Limit.Limit, t.Limit.Granted, t.Limit.InForce, t.Revision, t.Limit.Revision)
		}), true
	case []client.Key:
		return rowsOf(row("HASH", "TEAM", "WITHDRAWN", "REVISION"), v, func(k client.Key) []string {
			return row(k.Hash, k.Team, k.Withdrawn, k.Revision)
		}), true
	case []client.Pool:
		return rowsOf(row("POOL", "MAX UNAVAILABLE", "SPARE", "HOSTS", "DRAINS", "REVISION"), v, func(p client.Pool) []string {
			return row(p.ID, p.MaxUnavailable, p.Spare, p.Hosts, p.Drains, p.Revision)
		}), true
	case []client.Queue:
		return rowsOf(row("QUEUE", "POOL", "CLASS", "TARGET", "OPEN", "REVISION"), v, func(q client.Queue) []string {
			return row(q.ID, q.Pool, q.Class, q.Target(), q.Open, q.Revision)
		}), true
	case []client.Host:
		return rowsOf(row("HOST", "POOL", "DATA CENTRE", "RACK", "ADDRESS", "SLOTS", "DRAIN", "REVISION"), v, hostRow), true
	case []client.Drains:
		return drainRows(v), true
	case []client.EntryHost:
		return rowsOf(row("ENTRY HOST", "DATA CENTRE", "CALLERS", "PEERS", "INCARNATION"), v, func(e client.EntryHost) []string {
			return row(e.ID, e.DataCentre, e.HTTPAddress, e.PeerAddress, e.Incarnation)
		}), true
	case []client.Load:
		return rowsOf(row("POOL", "DATA CENTRE", "SCHEDULER", "WAITING", "RUNNING", "FREE SLOTS"), v, func(l client.Load) []string {
			return row(l.Pool, l.DataCentre, l.Entry, l.Waiting, l.Running, l.FreeSlots)
		}), true
	case client.ConfigurationStatus:
		return statusRows(v), true
	case client.Explanation:
		rows := [][]string{row("AT", "DECISION", "REASON")}
		for _, d := range v.Decisions {
			rows = append(rows, row(d.At.Format(time.RFC3339), d.Decision, d.Reason))
		}
		return rows, true
	}
	return nil, false
}

func row(cells ...any) []string {
	texts := make([]string, len(cells))
	for i, c := range cells {
		texts[i] = fmt.Sprint(c)
	}
	return texts
}

func rowsOf[T any](header []string, values []T, toRow func(T) []string) [][]string {
	rows := [][]string{header}
	for _, v := range values {
		rows = append(rows, toRow(v))
	}
	return rows
}

func hostRow(h client.Host) []string {
	drain := "-"
	if h.Drain != nil {
		drain = fmt.Sprintf("%s for %s", h.Drain.Phase, h.Drain.Purpose)
	}
	return row(h.ID, h.Pool, h.DataCentre, h.Rack, h.Address, h.Capacity.Slots, drain, h.Revision)
}

func drainRows(pools []client.Drains) [][]string {
	rows := [][]string{row("HOST", "POOL", "RACK", "PHASE", "PURPOSE", "MOVE TO", "STARTED")}
	for _, p := range pools {
		for _, id := range slices.Sorted(maps.Keys(p.Drains)) {
			d := p.Drains[id]
			started := time.UnixMilli(d.StartedMs).Format(time.RFC3339)
			rows = append(rows, row(d.Host, p.Pool, d.Rack, d.Phase, d.Purpose, d.MoveTo, started))
		}
	}
	return rows
}

func limitRows(l client.Limit) [][]string {
	rows := [][]string{row(fmt.Sprintf("limit %d, granted %d, in force: %t, revision %d", l.Limit, l.Granted, l.InForce, l.Revision))}
	for _, p := range l.Pending {
		rows = append(rows, row(fmt.Sprintf("pending: entry host %s holds %d", p.Entry, p.Slots)))
	}
	return rows
}

func statusRows(s client.ConfigurationStatus) [][]string {
	rows := [][]string{row(fmt.Sprintf("revision %d, in force everywhere: %t", s.Revision, s.InForce))}
	rows = append(rows, row("ENTRY HOST", "DATA CENTRE", "APPLIED", "STATE", "HEARD", "READY"))
	for _, m := range s.InForceOn {
		rows = append(rows, row(m.ID, m.DataCentre, m.AppliedRevision, "in force", fmt.Sprintf("%d ms ago", m.HeardMsAgo), m.Ready))
	}
	for _, m := range s.PendingOn {
		rows = append(rows, row(m.ID, m.DataCentre, m.AppliedRevision, "pending", fmt.Sprintf("%d ms ago", m.HeardMsAgo), m.Ready))
	}
	for _, l := range s.PendingLimits {
		rows = append(rows, row(fmt.Sprintf("limit %d of team %s is not in force: %d granted", l.Limit, l.Team, l.Granted)))
	}
	return rows
}
