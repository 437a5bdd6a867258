package nodeexchange

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/tinarch/tinarch/internal/clock"
	"github.com/tinarch/tinarch/internal/quota"
)

// exact tolerates nothing, so that what is granted can be counted.
var exact = quota.Tolerance{Window: 8 * time.Second}

// claimOf is a tenant's of a limit that hardly comes back within a test.
func claimOf(tenant string, cost float64) quota.ChargeRequest {
	limit := quota.Limit{Rate: 0.001, Burst: 1000, Unit: quota.Tokens}
	return quota.ChargeRequest{Tenant: tenant, Limit: limit, Version: 1, Cost: cost}
}

// longKnown is in how much time even a limit of claimOf comes back.
const longKnown = 1_000_000 * time.Hour

// quotaNodes returns nodes that have known each other, and silent ones, for long.
func quotaNodes(t *testing.T, nodes int, tolerance quota.Tolerance, silent ...*net.UDPConn) []*Exchange {
	t.Helper()
	return exchangesWith(t, nodes, func(exchange *Exchange) *quotaExchange {
		exchange.SetQuota(tolerance)
		return exchange.quota
	}, silent...)
}

// exchangesWith returns nodes that keep accounts of some kind, and know a worker.
func exchangesWith(t *testing.T, nodes int, set func(*Exchange) *quotaExchange, silent ...*net.UDPConn) []*Exchange {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var exchanges []*Exchange
	var kinds []*quotaExchange
	var listed []Peer
	for i := range nodes {
		exchange, err := Listen("127.0.0.1:0", fmt.Sprint("n", i), "zone", registryWith("w"), quiet())
		if err != nil {
			t.Fatal(err)
		}
		kinds = append(kinds, set(exchange))
		exchanges = append(exchanges, exchange)
		listed = append(listed, Peer{Node: exchange.node, Address: exchange.peers.address, Zone: "zone"})
	}
	for i, conn := range silent {
		listed = append(listed, Peer{Node: fmt.Sprint("silent", i), Address: addressOfConn(conn), Zone: "zone"})
	}
	for i, exchange := range exchanges {
		exchange.AddPeers(listed)
		kinds[i].dropMovedAccounts(time.Now().Add(-longKnown))
		go exchange.Run(ctx)
	}
	t.Cleanup(func() {
		cancel()
		for _, exchange := range exchanges {
			<-exchange.Done()
		}
	})
	return exchanges
}

// silentNode is a socket that a test reads and that answers nothing.
func silentNode(t *testing.T) *net.UDPConn {
	t.Helper()
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

func addressOfConn(conn *net.UDPConn) netip.AddrPort {
	return netip.MustParseAddrPort(conn.LocalAddr().String())
}

// nextQuota reads a node's messages on quotas until one is wanted.
func nextQuota(t *testing.T, conn *net.UDPConn, wanted func(quotaMessage) bool) (quotaMessage, netip.AddrPort) {
	t.Helper()
	buffer := make([]byte, maxDatagram)
	_ = conn.SetReadDeadline(time.Now().Add(20 * time.Second))
	for {
		count, from, err := conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			t.Fatal(err)
		}
		message, err := decode(buffer[:count])
		if err != nil {
			t.Fatal(err)
		}
		if message.Quota != nil && wanted(*message.Quota) {
			return *message.Quota, from
		}
	}
}

func isAsk(form quotaMessage) bool { return form.Ask != nil }

// reportsOf waits for a report of an account of which something was taken.
func reportsOf(account string) func(quotaMessage) bool {
	return func(form quotaMessage) bool { return form.Reports[account].Taken > 0 }
}

// answerQuota answers an ask in a silent node's place.
func answerQuota(t *testing.T, conn *net.UDPConn, to netip.AddrPort, reply wireQuotaReply) {
	t.Helper()
	datagram, err := json.Marshal(Message{Node: "silent", Quota: &quotaMessage{Reply: &reply}})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := conn.WriteToUDPAddrPort(datagram, to); err != nil {
		t.Fatal(err)
	}
}

// tenantKeptFirstBy returns a tenant whose account a node keeps as the first.
func tenantKeptFirstBy(t *testing.T, exchange *Exchange, first netip.AddrPort) string {
	t.Helper()
	for i := range 10_000 {
		tenant := fmt.Sprint("tenant", i)
		if exchange.quota.keepersOf(quota.AccountName(tenant, quota.Tokens))[0] == first {
			return tenant
		}
	}
	t.Fatal("a node is never the first keeper")
	return ""
}

// TestQuotaHoldsOverAllNodes whichever keeper decides.
func TestQuotaHoldsOverAllNodes(t *testing.T) {
	exchanges := quotaNodes(t, 5, exact)
	granted := 0
	for range 60 {
		for _, exchange := range exchanges {
			if exchange.ChargeQuota(t.Context(), claimOf("a", 10)).Granted {
				granted += 10
			}
			exchange.quota.reportChanged(time.Now())
		}
	}
	// A keeper whose answer is late may be followed by one that wasn't told of the last.
	if granted < 1000 || granted > 1000+5*10 {
		t.Errorf("%d granted, want 1000", granted)
	}
}

func TestReturnedQuotaIsGrantedElsewhere(t *testing.T) {
	exchanges := quotaNodes(t, 3, exact)
	if !exchanges[0].ChargeQuota(t.Context(), claimOf("a", 1000)).Granted {
		t.Fatal("a burst is refused")
	}
	if verdict := exchanges[1].ChargeQuota(t.Context(), claimOf("a", 1000)); verdict.Granted || verdict.Private || verdict.RetryAfter <= 0 {
		t.Errorf("a second burst: %+v", verdict)
	}
	exchanges[0].ReturnQuota(claimOf("a", 1000).Charge())
	for end := time.Now().Add(20 * time.Second); !exchanges[1].ChargeQuota(t.Context(), claimOf("a", 1000)).Granted; {
		if time.Now().After(end) {
			t.Fatal("what was returned is never granted")
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// TestRepeatedRunIsCharged at all keepers.
func TestRepeatedRunIsCharged(t *testing.T) {
	exchanges := quotaNodes(t, 3, exact)
	exchanges[0].ChargeQuota(t.Context(), claimOf("a", 100))
	exchanges[0].RecordQuotaCharge(claimOf("a", 100).Charge())
	account := claimOf("a", 1).Charge().Account
	for _, exchange := range exchanges {
		for end := time.Now().Add(20 * time.Second); ; time.Sleep(5 * time.Millisecond) {
			decision := exchange.quota.decide(quota.DecisionRequest{From: quota.Spender{Node: "asker"}, Account: account, Cost: 2000, Report: quota.Report{Limit: claimOf("a", 1).Limit, Version: 1}}, time.Now())
			if int(decision.Level+0.5) == 800 {
				break
			}
			if time.Now().After(end) {
				t.Fatalf("the level is %v, want 800", decision.Level)
			}
		}
	}
}

// TestKeeperThatDoesNotAnswer: the next decides, and the silent one isn't asked soon again.
func TestKeeperThatDoesNotAnswer(t *testing.T) {
	silent := silentNode(t)
	exchange := quotaNodes(t, 4, exact, silent)[0]
	tenant := tenantKeptFirstBy(t, exchange, addressOfConn(silent))
	if verdict := exchange.ChargeQuota(t.Context(), claimOf(tenant, 10)); !verdict.Granted || verdict.Private || verdict.Unanswered == 0 {
		t.Errorf("%+v", verdict)
	}
	if verdict := exchange.ChargeQuota(t.Context(), claimOf(tenant, 10)); !verdict.Granted || verdict.Keeper == addressOfConn(silent).String() {
		t.Errorf("%+v", verdict)
	}
	if asked := waitingAsks(silent); asked != 1 {
		t.Errorf("the silent keeper was asked %d times", asked)
	}
}

// waitingAsks reads the asks that have come to a silent node.
func waitingAsks(conn *net.UDPConn) int {
	buffer := make([]byte, maxDatagram)
	_ = conn.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
	asks := 0
	for {
		count, _, err := conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return asks
		}
		if message, err := decode(buffer[:count]); err == nil && message.Quota != nil && message.Quota.Ask != nil {
			asks++
		}
	}
}

// TestLateGrantIsVoid: a keeper that wakes and grants what nobody waits for any more is
// told that it was not used.
func TestLateGrantIsVoid(t *testing.T) {
	silent := []*net.UDPConn{silentNode(t), silentNode(t), silentNode(t), silentNode(t), silentNode(t), silentNode(t)}
	exchange := quotaNodes(t, 1, exact, silent...)[0]
	tenant := tenantKeptByOthers(exchange)
	claim := claimOf(tenant, 10)
	if verdict := exchange.ChargeQuota(t.Context(), claim); verdict.Granted || !verdict.Private {
		t.Fatalf("nothing is tolerated, and yet: %+v", verdict)
	}
	first := firstKeeper(exchange, tenant, silent)
	form, from := nextQuota(t, first, isAsk)
	if form.Ask.Report.Taken != 0 {
		t.Errorf("the ask counts itself: %+v", form.Ask)
	}
	answerQuota(t, first, from, wireQuotaReply{ID: form.Ask.ID, Granted: true})
	reported, _ := nextQuota(t, first, reportsOf(claim.Charge().Account))
	if report := reported.Reports[claim.Charge().Account]; report.Taken != 10 || report.Returned != 10 {
		t.Errorf("%+v", report)
	}
}

// tenantKeptByOthers returns a tenant whose account a node doesn't keep.
func tenantKeptByOthers(exchange *Exchange) string {
	for i := 0; ; i++ {
		tenant := fmt.Sprint("tenant", i)
		if !slices.Contains(exchange.quota.keepersOf(quota.AccountName(tenant, quota.Tokens)), exchange.peers.address) {
			return tenant
		}
	}
}

// firstKeeper returns the one of some silent nodes that is asked first for a tenant.
func firstKeeper(exchange *Exchange, tenant string, silent []*net.UDPConn) *net.UDPConn {
	keepers := exchange.quota.keepersOf(quota.AccountName(tenant, quota.Tokens))
	for _, conn := range silent {
		if keepers[0] == addressOfConn(conn) {
			return conn
		}
	}
	return nil
}

// TestColdRefusalIsAskedElsewhere, and a warm one isn't.
func TestColdRefusalIsAskedElsewhere(t *testing.T) {
	for _, cold := range []bool{true, false} {
		conn := silentNode(t)
		exchange := quotaNodes(t, 4, exact, conn)[0]
		tenant := tenantKeptFirstBy(t, exchange, addressOfConn(conn))
		answered := make(chan struct{})
		go func() {
			defer close(answered)
			form, from := nextQuota(t, conn, isAsk)
			answerQuota(t, conn, from, wireQuotaReply{ID: form.Ask.ID, Cold: cold, WaitMillis: 70})
		}()
		verdict := exchange.ChargeQuota(t.Context(), claimOf(tenant, 10))
		<-answered
		// A late answer leaves the decision to the next keeper as well.
		if cold && !verdict.Granted || !cold && verdict.Granted && verdict.Unanswered == 0 {
			t.Errorf("cold %v: %+v", cold, verdict)
		}
	}
}

// TestAllKeepersStartedAgain: after all power was lost nobody has a second burst.
func TestAllKeepersStartedAgain(t *testing.T) {
	exchanges := quotaNodes(t, 3, quota.Tolerance{Window: 8 * time.Second, Slack: 400})
	for _, exchange := range exchanges {
		exchange.quota.mu.Lock()
		exchange.quota.keeper = quota.NewKeeper(quota.Tolerance{Window: 8 * time.Second, Slack: 400}, time.Now())
		exchange.quota.mu.Unlock()
	}
	if verdict := exchanges[0].ChargeQuota(t.Context(), claimOf("a", 400)); verdict.Granted || verdict.Private {
		t.Errorf("%+v", verdict)
	}
	if verdict := exchanges[0].ChargeQuota(t.Context(), claimOf("a", 90)); !verdict.Granted {
		t.Errorf("%+v", verdict)
	}
}

// TestNodeThatReachesNoKeeper uses its allowance, and asks again once they answer.
func TestNodeThatReachesNoKeeper(t *testing.T) {
	tolerance := quota.Tolerance{Window: 8 * time.Second, Slack: 800}
	silent := []*net.UDPConn{silentNode(t), silentNode(t), silentNode(t)}
	exchange := quotaNodes(t, 1, tolerance, silent...)[0]
	tenant := tenantKeptByOthers(exchange)
	granted := 0.0
	for range 20 {
		verdict := exchange.ChargeQuota(t.Context(), claimOf(tenant, 10))
		if !verdict.Private {
			t.Fatalf("%+v", verdict)
		}
		if verdict.Granted {
			granted += 10
		}
	}
	// Of four nodes, half of 800 in a window, and what comes back meanwhile.
	if granted < 100 || granted > 150 {
		t.Errorf("%v used without a keeper, want 100", granted)
	}
	first := firstKeeper(exchange, tenant, silent)
	account := claimOf(tenant, 10).Charge().Account
	go grantAll(first, account)
	for end := time.Now().Add(20 * time.Second); ; {
		verdict := exchange.ChargeQuota(t.Context(), claimOf(tenant, 10))
		if !verdict.Private && verdict.Granted {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("with a keeper that answers: %+v", verdict)
		}
	}
}

// grantAll answers in a silent node's place until its socket is closed.
func grantAll(conn *net.UDPConn, account string) {
	buffer := make([]byte, maxDatagram)
	for {
		count, from, err := conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		message, err := decode(buffer[:count])
		if err != nil || message.Quota == nil || message.Quota.Ask == nil || message.Quota.Ask.Account != account {
			continue
		}
		reply := &wireQuotaReply{ID: message.Quota.Ask.ID, Granted: true}
		datagram, err := json.Marshal(Message{Node: "silent", Quota: &quotaMessage{Reply: reply}})
		if err == nil {
			_, _ = conn.WriteToUDPAddrPort(datagram, from)
		}
	}
}

// TestKeeperOutOfHearingOfTheOthers keeps the share of nodes that may use theirs.
func TestKeeperOutOfHearingOfTheOthers(t *testing.T) {
	silent := []*net.UDPConn{silentNode(t), silentNode(t)}
	exchange := quotaNodes(t, 1, exact, silent...)[0]
	account := claimOf("a", 1).Charge().Account
	now := time.Now()
	ask := func(node string, address netip.AddrPort, age time.Duration, at time.Time) quota.Decision {
		report := quota.Report{Limit: claimOf("a", 1).Limit, Version: 1, Age: age}
		return exchange.quota.decide(quota.DecisionRequest{From: quota.Spender{Node: node, Address: address}, Account: account, Cost: 100, Report: report}, at)
	}
	ask("here", exchange.peers.address, 0, now)
	ask("beyond", addressOfConn(silent[0]), 0, now)
	exchange.quota.heardFrom(addressOfConn(silent[0]), now.Add(time.Second))
	exchange.quota.heardFrom(addressOfConn(silent[1]), now.Add(time.Second))
	if decision := ask("here", exchange.peers.address, time.Second, now.Add(time.Second+quota.SilentAfter)); decision.Reserved != 0 {
		t.Errorf("all are heard, and %v is reserved", decision.Reserved)
	}
	if decision := ask("here", exchange.peers.address, time.Second, now.Add(4*time.Second)); decision.Reserved < 0.2 || decision.Reserved > 0.6 {
		t.Errorf("%v is reserved for the others", decision.Reserved)
	}
}

func TestKeeperThatStoodStillGrantsNoBurstBeforeItHearsOthers(t *testing.T) {
	silent := []*net.UDPConn{silentNode(t), silentNode(t)}
	exchange := quotaNodes(t, 1, exact, silent...)[0]
	now := time.Now()
	ask := quota.DecisionRequest{
		From: quota.Spender{Node: "other", Address: addressOfConn(silent[0])}, Account: claimOf("a", 1).Charge().Account,
		Cost: 10, Report: quota.Report{Limit: claimOf("a", 1).Limit, Version: 1},
	}
	if !exchange.quota.decide(ask, now).Granted {
		t.Error("a warm keeper refuses")
	}
	exchange.quota.mu.Lock()
	exchange.quota.lastRan = clock.Boottime().Add(-2 * quota.SilentAfter)
	exchange.quota.mu.Unlock()
	if decision := exchange.quota.decide(ask, now); decision.Granted || !decision.Cold {
		t.Errorf("a keeper that stood still grants a burst: %+v", decision)
	}
}

// TestKeeperThatHeardNobody: one that was frozen or cut off doesn't know what others used.
func TestKeeperThatHeardNobody(t *testing.T) {
	silent := []*net.UDPConn{silentNode(t), silentNode(t)}
	exchange := quotaNodes(t, 1, exact, silent...)[0]
	now := time.Now()
	report := quota.Report{Limit: claimOf("a", 1).Limit, Version: 1}
	account := claimOf("a", 1).Charge().Account
	decide := func(at time.Time) quota.Decision {
		return exchange.quota.decide(quota.DecisionRequest{From: quota.Spender{Node: "other", Address: addressOfConn(silent[0])}, Account: account, Cost: 10, Report: report}, at)
	}
	exchange.quota.heardFrom(addressOfConn(silent[0]), now)
	if !decide(now).Granted {
		t.Error("a warm keeper refuses")
	}
	exchange.quota.heardFrom(addressOfConn(silent[0]), now.Add(quota.SilentAfter))
	if decision := decide(now.Add(quota.SilentAfter)); decision.Level < 900 {
		t.Errorf("a keeper that was in hearing forgets: %+v", decision)
	}
	exchange.quota.heardFrom(addressOfConn(silent[0]), now.Add(3*quota.SilentAfter))
	if decision := decide(now.Add(3 * quota.SilentAfter)); decision.Granted || !decision.Cold {
		t.Errorf("a keeper that heard nobody grants a burst: %+v", decision)
	}
}

func TestQuotaMessagesFitADatagram(t *testing.T) {
	reports := make(map[string]wireQuotaReport)
	for i := range maxQuotaReports {
		name := quota.AccountName(fmt.Sprintf("a tenant with a long name %020d", i), quota.Requests)
		reports[name] = wireQuotaReport{Taken: 123456789012, Returned: 12345678901, AgeMillis: 86_400_000, Before: 123456789012, Rate: 710234.25, Burst: 710234.25, Unit: "requests", Version: 1 << 40}
	}
	datagram, err := json.Marshal(Message{Node: "0123456789ab", Quota: &quotaMessage{Reports: reports}})
	if err != nil || len(datagram) > maxDatagram {
		t.Errorf("%d bytes, %v", len(datagram), err)
	}
}

// TestQuietNodesAreProbed where another keeper isn't heard: one that only uses little
// answers, and keeps its part.
func TestQuietNodesAreProbed(t *testing.T) {
	silent := []*net.UDPConn{silentNode(t), silentNode(t)}
	exchange := quotaNodes(t, 1, exact, silent...)[0]
	account := claimOf("a", 1).Charge().Account
	user := silent[0]
	report := quota.Report{Limit: claimOf("a", 1).Limit, Version: 1}
	exchange.quota.decide(quota.DecisionRequest{From: quota.Spender{Node: "user", Address: addressOfConn(user)}, Account: account, Cost: 100, Report: report}, time.Now())
	nextQuota(t, user, func(form quotaMessage) bool { return form.Probe == account })
	exchange.quota.receive(addressOfConn(user), "user", quotaMessage{Reports: map[string]wireQuotaReport{account: renderQuotaReport(report)}})
	if decision := exchange.quota.decide(quota.DecisionRequest{From: exchange.quota.self(), Account: account, Cost: 1, Report: report}, time.Now()); decision.Reserved != 0 {
		t.Errorf("%v is reserved for a node that answers", decision.Reserved)
	}
}

// TestProbedNodeAnswers also one that doesn't keep the account.
func TestProbedNodeAnswers(t *testing.T) {
	silent := []*net.UDPConn{silentNode(t), silentNode(t), silentNode(t), silentNode(t)}
	exchange := quotaNodes(t, 1, exact, silent...)[0]
	for _, conn := range silent {
		for i := 0; ; i++ {
			account := claimOf(fmt.Sprint("tenant", i), 10).Charge().Account
			if slices.Contains(exchange.quota.keepersOf(account), addressOfConn(conn)) {
				continue
			}
			exchange.ChargeQuota(t.Context(), claimOf(fmt.Sprint("tenant", i), 10))
			exchange.quota.receive(addressOfConn(conn), "prober", quotaMessage{Probe: account})
			nextQuota(t, conn, func(form quotaMessage) bool { _, told := form.Reports[account]; return told })
			break
		}
	}
}

// TestNewRankingHoldsBeforeAnyDecision: after nodes were added an account is new to this one,
// whichever of the decisions under way notices first.
func TestNewRankingHoldsBeforeAnyDecision(t *testing.T) {
	exchange := quotaNodes(t, 1, quota.Tolerance{Window: 8 * time.Second, Slack: 400})[0]
	for i := range 200 { // accounts whose keepers are to be ranked again
		exchange.quota.decide(quota.DecisionRequest{From: exchange.quota.self(), Account: claimOf(fmt.Sprint("known", i), 1).Charge().Account, Cost: 1, Report: quota.Report{Limit: claimOf("a", 1).Limit}}, time.Now())
	}
	report := quota.Report{Limit: claimOf("a", 1).Limit, Version: 1}
	for round := range 50 {
		exchange.quota.mu.Lock()
		exchange.quota.keeper.KeepersChanged(func(string) bool { return true }, time.Now().Add(-longKnown))
		exchange.quota.mu.Unlock()
		exchange.AddPeers([]Peer{{Node: fmt.Sprint("added", round), Address: netip.AddrPortFrom(exchange.peers.address.Addr(), uint16(1+round))}})
		var deciding sync.WaitGroup
		for i := range 8 {
			deciding.Go(func() {
				account := claimOf(fmt.Sprintf("new%d-%d", round, i), 1).Charge().Account
				decision := exchange.quota.decide(quota.DecisionRequest{From: exchange.quota.self(), Account: account, Cost: 1, Report: report}, time.Now())
				if decision.Level > 101 { // a fourth of the slack, and what has come back
					t.Errorf("round %d: an account is new here, and its level is %v", round, decision.Level)
				}
			})
		}
		deciding.Wait()
	}
}
