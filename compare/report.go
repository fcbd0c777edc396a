package compare

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
)

// Report sets the plays of two builds side by side.
type Report struct {
	Old     string   `json:"old"` // revision
	New     string   `json:"new"`
	Seeds   []uint64 `json:"seeds"`
	Days    []Row    `json:"days"` // worst difference first
	Total   *Row     `json:"mean,omitempty"`
	Misfits []Misfit `json:"not_fitting,omitempty"` // days that were not played
	Plays   []Play   `json:"plays"`
}

// Row compares one day. Its means are over the seeds that have a result of both
// builds; Paired is their number.
type Row struct {
	Site       string  `json:"site,omitempty"`
	Day        string  `json:"day,omitempty"`
	File       bool    `json:"file,omitempty"`
	Paired     int     `json:"paired"`
	Old        Mean    `json:"old"`
	New        Mean    `json:"new"`
	Difference float64 `json:"difference"` // of worth, new less old
	Worst      *Worst  `json:"worst,omitempty"`
}

// Mean holds means over plays.
type Mean struct {
	Worth  float64            `json:"worth"`
	Rules  map[string]float64 `json:"rules"` // broken rules a play, by rule
	Broken float64            `json:"broken"`
	Lost   float64            `json:"lost_runs"`
}

// Worst is the seed with the lowest difference of worth.
type Worst struct {
	Seed       uint64  `json:"seed"`
	Difference float64 `json:"difference"`
}

// Misfit is a day that the bench does not play on a site.
type Misfit struct {
	Site   string `json:"site"`
	Day    string `json:"day"`
	Detail string `json:"detail"`
}

type dayKey struct {
	site, day string
	file      bool
}

// NewReport aggregates plays. Days on which the new build breaks more rules than
// the old one come first, then all follow by difference of worth, broken rules and
// lost runs.
func NewReport(oldRevision, newRevision string, seeds []uint64, plays []Play) Report {
	r := Report{Old: oldRevision, New: newRevision, Seeds: seeds, Days: []Row{}, Plays: plays}
	var order []dayKey
	played := make(map[dayKey]map[uint64]map[string]Play)
	misfits := make(map[dayKey]bool)
	for _, p := range plays {
		key := dayKey{p.Site, p.Day, p.File}
		if p.Status == NotFitting && !misfits[key] {
			misfits[key] = true
			r.Misfits = append(r.Misfits, Misfit{p.Site, p.Day, p.Detail})
		}
		if p.Status != Played {
			continue
		}
		if played[key] == nil {
			played[key] = make(map[uint64]map[string]Play)
			order = append(order, key)
		}
		if played[key][p.Seed] == nil {
			played[key][p.Seed] = make(map[string]Play)
		}
		played[key][p.Seed][p.Build] = p
	}
	for _, key := range order {
		if row := newRow(key, played[key]); row.Paired > 0 {
			r.Days = append(r.Days, row)
		}
	}
	slices.SortStableFunc(r.Days, compareRows)
	if len(r.Days) > 0 {
		total := totalRow(r.Days)
		r.Total = &total
	}
	return r
}

func newRow(key dayKey, bySeed map[uint64]map[string]Play) Row {
	row := Row{Site: key.site, Day: key.day, File: key.file}
	var before, after []Play
	for _, seed := range slices.Sorted(maps.Keys(bySeed)) {
		o, haveOld := bySeed[seed][OldBuild]
		n, haveNew := bySeed[seed][NewBuild]
		if !haveOld || !haveNew {
			continue
		}
		before, after = append(before, o), append(after, n)
		if d := *n.Worth - *o.Worth; row.Worst == nil || d < row.Worst.Difference {
			row.Worst = &Worst{seed, d}
		}
	}
	row.Paired = len(before)
	row.Old, row.New = meanOfPlays(before), meanOfPlays(after)
	row.Difference = row.New.Worth - row.Old.Worth
	return row
}

func meanOfPlays(plays []Play) Mean {
	means := make([]Mean, len(plays))
	for i, p := range plays {
		means[i] = Mean{Worth: *p.Worth, Rules: make(map[string]float64), Lost: float64(*p.Lost)}
		for rule, n := range p.Rules {
			means[i].Rules[rule] = float64(n)
			means[i].Broken += float64(n)
		}
	}
	return meanOf(means)
}

func meanOf(means []Mean) Mean {
	mean := Mean{Rules: make(map[string]float64)}
	n := float64(len(means))
	for _, m := range means {
		mean.Worth += m.Worth / n
		mean.Broken += m.Broken / n
		mean.Lost += m.Lost / n
		for rule, broken := range m.Rules {
			mean.Rules[rule] += broken / n
		}
	}
	return mean
}

// totalRow is the mean over days, each with the same weight.
func totalRow(rows []Row) Row {
	var total Row
	var before, after []Mean
	for _, r := range rows {
		total.Paired += r.Paired
		before, after = append(before, r.Old), append(after, r.New)
	}
	total.Old, total.New = meanOf(before), meanOf(after)
	total.Difference = total.New.Worth - total.Old.Worth
	return total
}

func compareRows(a, b Row) int {
	brokenA, brokenB := a.New.Broken-a.Old.Broken, b.New.Broken-b.Old.Broken
	if (brokenA > 0) != (brokenB > 0) {
		if brokenA > 0 {
			return -1
		}
		return 1
	}
	return cmp.Or(
		cmp.Compare(a.Difference, b.Difference),
		cmp.Compare(brokenB, brokenA),
		cmp.Compare(b.New.Lost-b.Old.Lost, a.New.Lost-a.Old.Lost),
		cmp.Compare(a.Site, b.Site),
		cmp.Compare(a.Day, b.Day),
	)
}

// Complete reports whether all plays of days that fit their site have a result.
func (r Report) Complete() bool {
	return !slices.ContainsFunc(r.Plays, func(p Play) bool { return p.Status != Played && p.Status != NotFitting })
}

// WriteJSON writes the report as indented JSON.
func (r Report) WriteJSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(r)
}

// WriteText writes the report as a table and lists of what has no result.
func (r Report) WriteText(w io.Writer) error {
	fmt.Fprintf(w, "old %s, new %s; seeds %s\n\n", r.Old, r.New, strings.Trim(fmt.Sprint(r.Seeds), "[]"))
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "site\tday\tpairs\told\tnew\tdifference\tworst seed\trules old\trules new\tlost old\tlost new")
	for _, row := range r.Days {
		fmt.Fprintf(t, "%s\t%s\t%d\t%s\t%d: %+.3f\t%s\n", row.Site, row.Day, row.Paired, worths(row),
			row.Worst.Seed, row.Worst.Difference, others(row))
	}
	if r.Total != nil {
		fmt.Fprintf(t, "mean\t%d days\t%d\t%s\t\t%s\n", len(r.Days), r.Total.Paired, worths(*r.Total), others(*r.Total))
	}
	if err := t.Flush(); err != nil {
		return err
	}
	for _, m := range r.Misfits {
		fmt.Fprintf(w, "not played: %s %s: %s\n", m.Site, m.Day, m.Detail)
	}
	notStarted := 0
	for _, p := range r.Plays {
		switch p.Status {
		case Played, NotFitting:
		case NotStarted:
			notStarted++
		default:
			fmt.Fprintf(w, "no result: %s %s, seed %d, %s: %s\n", p.Site, p.Day, p.Seed, p.Build, p.Outcome())
		}
	}
	_, err := fmt.Fprintf(w, "%d plays, %d not started\n", len(r.Plays), notStarted)
	return err
}

func worths(r Row) string {
	return fmt.Sprintf("%.3f\t%.3f\t%+.3f", r.Old.Worth, r.New.Worth, r.Difference)
}

func others(r Row) string {
	return fmt.Sprintf("%s\t%s\t%.1f\t%.1f", rulesText(r.Old.Rules), rulesText(r.New.Rules), r.Old.Lost, r.New.Lost)
}

func rulesText(rules map[string]float64) string {
	if len(rules) == 0 {
		return "-"
	}
	var parts []string
	for _, rule := range slices.Sorted(maps.Keys(rules)) {
		parts = append(parts, fmt.Sprintf("%s %.3g", rule, rules[rule]))
	}
	return strings.Join(parts, ", ")
}

// Outcome is one line about how the play ended.
func (p Play) Outcome() string {
	if p.Status != Played {
		if p.Detail == "" {
			return string(p.Status)
		}
		return fmt.Sprintf("%s: %s", p.Status, p.Detail)
	}
	rules := make(map[string]float64)
	for rule, n := range p.Rules {
		rules[rule] = float64(n)
	}
	return fmt.Sprintf("worth %.3f, rules broken %s, %d lost runs", *p.Worth, rulesText(rules), *p.Lost)
}
