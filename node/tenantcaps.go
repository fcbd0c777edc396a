package node

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/peridotlock/peridotlock/cell"
	"github.com/peridotlock/peridotlock/dispatch"
	"github.com/peridotlock/peridotlock/policy"
	"github.com/peridotlock/peridotlock/quota"
)

const (
	// capInterval is the time between two decisions about shares of tenants' caps. A tenant under its cap waits
	// for one here, one in another cell, and two records, and the platform wants a task to run within 3 s.
	capInterval = 100 * time.Millisecond
	// minUseInterval is the minimum time between two records of a cell's use.
	minUseInterval = 200 * time.Millisecond
	// useRepeatInterval is the time after which a record of a cell's use is stored again without a change:
	// another writer may have replaced it.
	useRepeatInterval = 5 * time.Second
	// sharesRestoreInterval is the time for which a stored record of transfers may not be read
	// before it is stored again.
	sharesRestoreInterval = 2 * time.Second
	// maxTenantGauges bounds the tenants with gauges of their own.
	maxTenantGauges = 100
)

// tenantCaps is an owner's part in dividing the caps of tenants among cells.
type tenantCaps struct {
	configVersion int64
	tenants       []policy.Tenant // with caps
	decidedAt     time.Duration
	given         quota.Given   // by this cell, stored or being stored
	givenAt       time.Duration // when its newest record was queued
	// unreadable holds what all cells had given when this owner took over, if what this cell had given was not known then.
	// All shares up to then are taken for given away.
	unreadable  []quota.Given
	applied     bool // core has the shares of version and given
	version     int  // of the shares read
	published   map[string]quota.Demand
	publishedAt time.Duration
	gauges      map[string]bool // names of registered gauges
}

// restoreShares reads what earlier owners of the cell have given. Their late transfers are refused by the log.
func (o *owner) restoreShares(now time.Duration) {
	read := o.n.submissions.Shares()
	if o.layout.Cells <= 1 || o.cell >= len(read.Given) {
		return
	}
	o.findCaps()
	o.caps.given, o.caps.givenAt = read.Given[o.cell], now
	if read.Unreadable[o.cell] {
		o.caps.unreadable = read.Given
		o.n.log.Info("transfers of tenants' caps not known, counting all shares as given away", "cell", o.cell, "fence", o.fence)
	}
	if demands := o.n.submissions.Uses(now)[o.cell].Demands; len(demands) > 0 {
		o.caps.published = demands
	}
	o.applyShares()
}

// shareCaps divides the caps of tenants among the cells. It does nothing if no tenant has a cap.
func (o *owner) shareCaps(now time.Duration) {
	o.findCaps()
	if len(o.caps.tenants) == 0 && len(o.caps.published) == 0 {
		return
	}
	if o.layout.Cells > 1 && (!o.caps.applied || o.caps.version != o.n.submissions.SharesVersion()) {
		o.applyShares()
	}
	if now-o.caps.decidedAt < capInterval {
		return
	}
	o.caps.decidedAt = now
	uses := o.core.TenantUses(now)
	o.updateTenantGauges(uses)
	if o.layout.Cells <= 1 {
		return
	}
	o.publishUse(uses, now)
	o.transferShares(uses, now)
}

// findCaps lists the tenants with caps of the configuration in force.
func (o *owner) findCaps() {
	c := o.n.operator.config.Load()
	if c == nil || c.Version == o.caps.configVersion {
		return
	}
	o.caps.configVersion, o.caps.tenants, o.caps.applied = c.Version, nil, false
	o.caps.unregister(o.n.set) // of tenants that were removed
	for _, t := range c.Tenants {
		if quota.IsLimited(t.Cap) {
			o.caps.tenants = append(o.caps.tenants, t)
		}
	}
}

// given returns what each cell has given, by this cell also what is not stored yet.
func (o *owner) given(read cell.Shares) []quota.Given {
	read.Given[o.cell] = o.caps.given
	return read.Given
}

// lostShare returns what this cell can't tell from what it has given away.
func (o *owner) lostShare(tenant string) int64 {
	if o.caps.unreadable == nil {
		return 0
	}
	return quota.Shares(tenant, o.caps.unreadable)[o.cell]
}

// applyShares passes this cell's shares to the core.
func (o *owner) applyShares() {
	read := o.n.submissions.Shares()
	o.caps.given = o.caps.given.Merge(read.Given[o.cell]) // others count what another writer has stored there
	given := o.given(read)
	shares := map[string]int64{}
	for _, name := range o.tenantsWithShares(given) {
		shares[name] = max(0, quota.Shares(name, given)[o.cell]-o.lostShare(name))
	}
	o.core.SetTenantShares(shares)
	o.caps.version, o.caps.applied = read.Version, true
}

// tenantsWithShares returns the tenants with a cap, and those of which parts were ever given: one that
// has been removed keeps its cap here, and may have it in a configuration that other VMs have.
func (o *owner) tenantsWithShares(given []quota.Given) []string {
	names := map[string]bool{}
	for _, t := range o.caps.tenants {
		names[t.Name] = true
	}
	for _, g := range given {
		for name := range g {
			names[name] = true
		}
	}
	return slices.Collect(maps.Keys(names))
}

// publishUse publishes what tenants use and need of the cell, by which the owners of other
// cells give parts of their shares: at once when work begins to wait for a cap.
func (o *owner) publishUse(uses map[string]dispatch.TenantUse, now time.Duration) {
	demands := map[string]quota.Demand{}
	urgent := false
	for tenant, use := range uses {
		d := use.Demand
		if lost := o.lostShare(tenant); lost > 0 {
			d.Used, d.Next, d.Need = d.Used+lost, d.Next+lost, d.Need+lost
		}
		if d.Need > 0 {
			demands[tenant] = d
		}
		before := o.caps.published[tenant]
		urgent = urgent || d.Need > d.Used && (before.Need == before.Used || d.Next > before.Need)
	}
	age := now - o.caps.publishedAt
	isRepeat := maps.Equal(demands, o.caps.published) && (len(demands) == 0 || age < useRepeatInterval)
	if age < minUseInterval || isRepeat || !urgent && age < loadInterval {
		return
	}
	record, err := cell.UseRecord(o.cell, demands)
	if err != nil {
		o.n.log.Error(err, "use of tenants not encoded", "cell", o.cell)
		return
	}
	o.caps.published, o.caps.publishedAt = demands, now
	o.states.queue(o, record)
}

// transferShares gives parts of this cell's shares to cells whose work waits for a cap. A further transfer waits until
// the record of the one before was read.
func (o *owner) transferShares(uses map[string]dispatch.TenantUse, now time.Duration) {
	if o.caps.unreadable != nil {
		return
	}
	read := o.n.submissions.Shares()
	if !read.Given[o.cell].Equal(o.caps.given) || read.Replaced[o.cell] {
		if now-o.caps.givenAt >= sharesRestoreInterval {
			o.storeShares(o.caps.given, now)
		}
		return
	}
	given, next := o.given(read), o.caps.given
	others := o.n.submissions.Uses(now)
	var transfers []transfer
	for _, t := range o.caps.tenants {
		cells, wanted := o.tenantCells(t.Name, given, others, uses[t.Name].Demand)
		if !wanted {
			continue
		}
		for to, parts := range quota.Transfers(o.cell, cells) {
			if parts > 0 {
				next = next.Add(t.Name, to, parts)
				transfers = append(transfers, transfer{t.Name, to, parts, cells[o.cell], cells[to]})
			}
		}
	}
	if len(transfers) > 0 && o.storeShares(next, now) {
		for _, t := range transfers {
			o.logTransfer(t)
		}
	}
}

// transfer is a part of this cell's share that another cell gets.
type transfer struct {
	tenant     string
	to         int
	parts      int64
	from, want quota.Cell
}

// tenantCells returns what is known of a tenant in all cells, and whether another one wants more of its cap.
func (o *owner) tenantCells(tenant string, given []quota.Given, uses []cell.CellUse, own quota.Demand) (cells []quota.Cell, wanted bool) {
	for i, use := range uses {
		if d := use.Demands[tenant]; i != o.cell && use.Reachable && d.Need > d.Used {
			wanted = true
		}
	}
	if !wanted {
		return nil, false
	}
	shares := quota.Shares(tenant, given)
	cells = make([]quota.Cell, len(shares))
	for i, share := range shares {
		cells[i] = quota.Cell{Share: share, Demand: uses[i].Demands[tenant], Reachable: uses[i].Reachable}
	}
	cells[o.cell] = quota.Cell{Share: shares[o.cell], Demand: own, Reachable: true}
	return cells, true
}

// storeShares stores transfers. What they give counts as gone from now on, whether they are stored or not.
func (o *owner) storeShares(given quota.Given, now time.Duration) bool {
	o.caps.givenAt = now
	record, err := cell.SharesRecord(o.cell, given)
	if err != nil {
		if o.events.allows("transfer refused", maxLoanLines, now) {
			o.n.log.Error(err, "share of a tenant's cap not given", "cell", o.cell)
		}
		return false
	}
	o.caps.given = given
	o.applyShares()
	o.states.queue(o, record)
	return true
}

func (o *owner) logTransfer(t transfer) {
	o.n.set.GetOrCreateCounter(fmt.Sprintf(`peridotlock_tenant_transfers_total{cell="%d"}`, o.cell)).Inc()
	o.n.log.Info("share of a tenant's cap given", "tenant", t.tenant, "cell", o.cell, "to", t.to, "parts", t.parts, "whole", quota.Whole,
		"share", t.from.Share, "used", t.from.Demand.Used, "need", t.from.Demand.Need,
		"to_share", t.want.Share, "to_used", t.want.Demand.Used, "to_next", t.want.Demand.Next, "to_need", t.want.Demand.Need, "fence", o.fence)
}

// updateTenantGauges sets the gauges of the tenants with caps, in fractions of the cap.
func (o *owner) updateTenantGauges(uses map[string]dispatch.TenantUse) {
	given := []quota.Given{nil}
	index := 0
	if o.layout.Cells > 1 {
		given, index = o.given(o.n.submissions.Shares()), o.cell
	}
	for _, t := range o.caps.tenants[:min(len(o.caps.tenants), maxTenantGauges)] {
		d := uses[t.Name].Demand
		o.caps.set(o.n.set, o.cell, "share", t.Name, max(0, quota.Shares(t.Name, given)[index]-o.lostShare(t.Name)))
		o.caps.set(o.n.set, o.cell, "used", t.Name, quota.ShareFor(uses[t.Name].Used, t.Cap))
		o.caps.set(o.n.set, o.cell, "waiting", t.Name, d.Need-d.Used)
	}
}

func (c *tenantCaps) set(set *metrics.Set, cell int, gauge, tenant string, parts int64) {
	name := fmt.Sprintf(`peridotlock_tenant_%s{cell="%d",tenant=%q}`, gauge, cell, tenant)
	if c.gauges == nil {
		c.gauges = map[string]bool{}
	}
	c.gauges[name] = true
	set.GetOrCreateGauge(name, nil).Set(float64(parts) / quota.Whole)
}

// unregister removes the gauges.
func (c *tenantCaps) unregister(set *metrics.Set) {
	for name := range c.gauges {
		set.UnregisterMetric(name)
	}
	c.gauges = nil
}
