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

// quotaZeroTolerance permits no excess, so that a test can count what is granted.
var quotaZeroTolerance = quota.Tolerance{Window: 8 * time.Second}

// requestOf returns a tenant's request to charge a limit that hardly refills during a test.
func requestOf(tenant string, cost float64) quota.ChargeRequest {
	limit := quota.Limit{Rate: 0.001, Burst: 1000, Unit: quota.Tokens}
	return quota.ChargeRequest{Tenant: tenant, Limit: limit, Version: 1, Cost: cost}
}

// refillTime is longer than the limit of requestOf takes to refill.
const refillTime = 1_000_000 * time.Hour

// quotaNodes returns nodes that have known each other, and the silent nodes, for a long time.
func quotaNodes(t *testing.T, nodes int, tolerance quota.Tolerance, silent ...*net.UDPConn) []*Exchange {
	t.Helper()
	return exchangesWith(t, nodes, func(exchange *Exchange) *quotaExchange {
		exchange.SetQuota(tolerance)
		return exchange.quota
	}, silent...)
}

// exchangesWith returns nodes that keep accounts of the kind that set turns on, and that know
// one worker.
func exchangesWith(t *testing.T, nodes int, set func(*Exchange) *quotaExchange, silent ...*net.UDPConn) []*Exchange {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var exchanges []*Exchange
	var kinds []*quotaExchange
	var listed []Peer
	for i := range nodes {
		exchange, err := Listen("127.0.0.1:0", fmt.Sprint("n", i), "zone", newRegistry("w"), quiet())
		if err != nil {
			t.Fatal(err)
		}
		kinds = append(kinds, set(exchange))
		exchanges = append(exchanges, exchange)
		listed = append(listed, Peer{Node: exchange.node, Address: exchange.peers.address, Zone: "zone"})
	}
	for i, conn := range silent {
		listed = append(listed, Peer{Node: fmt.Sprint("silent", i), Address: connAddress(conn), Zone: "zone"})
	}
	for i, exchange := range exchanges {
		exchange.AddPeers(listed)
		kinds[i].dropMovedAccounts(time.Now().Add(-refillTime))
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

// silentNode returns the socket of a node that never answers by itself.
func silentNode(t *testing.T) *net.UDPConn {
	t.Helper()
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

func connAddress(conn *net.UDPConn) netip.AddrPort {
	return netip.MustParseAddrPort(conn.LocalAddr().String())
}

// nextQuota reads the messages about quotas that arrive at a socket until wanted accepts one.
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

// reportsOf returns a function that accepts a report of an account with charges.
func reportsOf(account string) func(quotaMessage) bool {
	return func(form quotaMessage) bool { return form.Reports[account].Taken > 0 }
}

// answerQuota answers a request on behalf of a silent node.
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

// tenantKeptFirstBy returns a tenant whose account has the given node as its first keeper.
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

// TestQuotaHoldsOverAllNodes checks that all nodes together don't exceed a quota, whichever
// keeper decides.
func TestQuotaHoldsOverAllNodes(t *testing.T) {
	exchanges := quotaNodes(t, 5, quotaZeroTolerance)
	granted := 0
	for range 60 {
		for _, exchange := range exchanges {
			if exchange.ChargeQuota(t.Context(), requestOf("a", 10)).Granted {
				granted += 10
			}
			exchange.quota.reportChanged(time.Now())
		}
	}
	// If a keeper's answer is late, the next keeper decides, which may not have the last report
	// yet.
	if granted < 1000 || granted > 1000+5*10 {
		t.Errorf("%d granted, want 1000", granted)
	}
}

func TestReturnedQuotaIsGrantedElsewhere(t *testing.T) {
	exchanges := quotaNodes(t, 3, quotaZeroTolerance)
	if !exchanges[0].ChargeQuota(t.Context(), requestOf("a", 1000)).Granted {
		t.Fatal("a burst is refused")
	}
	if verdict := exchanges[1].ChargeQuota(t.Context(), requestOf("a", 1000)); verdict.Granted || verdict.Private || verdict.RetryAfter <= 0 {
		t.Errorf("a second burst: %+v", verdict)
	}
	exchanges[0].ReturnQuota(requestOf("a", 1000).Charge())
	for end := time.Now().Add(20 * time.Second); !exchanges[1].ChargeQuota(t.Context(), requestOf("a", 1000)).Granted; {
		if time.Now().After(end) {
			t.Fatal("what was returned is never granted")
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// TestRecordedChargeReachesAllKeepers checks that all keepers learn of a charge that was
// recorded without asking any.
func TestRecordedChargeReachesAllKeepers(t *testing.T) {
	exchanges := quotaNodes(t, 3, quotaZeroTolerance)
	exchanges[0].ChargeQuota(t.Context(), requestOf("a", 100))
	exchanges[0].RecordQuotaCharge(requestOf("a", 100).Charge())
	account := requestOf("a", 1).Charge().Account
	for _, exchange := range exchanges {
		for end := time.Now().Add(20 * time.Second); ; time.Sleep(5 * time.Millisecond) {
			decision := exchange.quota.decide(quota.DecisionRequest{From: quota.Spender{Node: "asker"}, Account: account, Cost: 2000, Report: quota.Report{Limit: requestOf("a", 1).Limit, Version: 1}}, time.Now())
			if int(decision.Level+0.5) == 800 {
				break
			}
			if time.Now().After(end) {
				t.Fatalf("the level is %v, want 800", decision.Level)
			}
		}
	}
}

// TestSilentKeeperIsSkipped checks that the next keeper decides if the first doesn't answer,
// and that the silent one isn't asked again soon.
func TestSilentKeeperIsSkipped(t *testing.T) {
	silent := silentNode(t)
	exchange := quotaNodes(t, 4, quotaZeroTolerance, silent)[0]
	tenant := tenantKeptFirstBy(t, exchange, connAddress(silent))
	if verdict := exchange.ChargeQuota(t.Context(), requestOf(tenant, 10)); !verdict.Granted || verdict.Private || verdict.Unanswered == 0 {
		t.Errorf("%+v", verdict)
	}
	if verdict := exchange.ChargeQuota(t.Context(), requestOf(tenant, 10)); !verdict.Granted || verdict.Keeper == connAddress(silent).String() {
		t.Errorf("%+v", verdict)
	}
	if asked := waitingAsks(silent); asked != 1 {
		t.Errorf("the silent keeper was asked %d times, want 1", asked)
	}
}

// waitingAsks counts the requests that have arrived at a silent node.
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

// TestLateGrantIsReturned checks that a keeper that was paused, and grants a charge for which
// nobody waits any more, is told that the charge was not used.
func TestLateGrantIsReturned(t *testing.T) {
	silent := []*net.UDPConn{silentNode(t), silentNode(t), silentNode(t), silentNode(t), silentNode(t), silentNode(t)}
	exchange := quotaNodes(t, 1, quotaZeroTolerance, silent...)[0]
	tenant := tenantKeptByOthers(exchange)
	claim := requestOf(tenant, 10)
	if verdict := exchange.ChargeQuota(t.Context(), claim); verdict.Granted || !verdict.Private {
		t.Fatalf("granted without any tolerance: %+v", verdict)
	}
	first := firstKeeper(exchange, tenant, silent)
	form, from := nextQuota(t, first, isAsk)
	if form.Ask.Report.Taken != 0 {
		t.Errorf("the request counts its own cost as used: %+v", form.Ask)
	}
	answerQuota(t, first, from, wireQuotaReply{ID: form.Ask.ID, Granted: true})
	reported, _ := nextQuota(t, first, reportsOf(claim.Charge().Account))
	if report := reported.Reports[claim.Charge().Account]; report.Taken != 10 || report.Returned != 10 {
		t.Errorf("%+v", report)
	}
}

// tenantKeptByOthers returns a tenant of whose account a node isn't a keeper.
func tenantKeptByOthers(exchange *Exchange) string {
	for i := 0; ; i++ {
		tenant := fmt.Sprint("tenant", i)
		if !slices.Contains(exchange.quota.keepersOf(quota.AccountName(tenant, quota.Tokens)), exchange.peers.address) {
			return tenant
		}
	}
}

// firstKeeper returns the silent node that is the first keeper of a tenant's account.
func firstKeeper(exchange *Exchange, tenant string, silent []*net.UDPConn) *net.UDPConn {
	keepers := exchange.quota.keepersOf(quota.AccountName(tenant, quota.Tokens))
	for _, conn := range silent {
		if keepers[0] == connAddress(conn) {
			return conn
		}
	}
	return nil
}

// TestRefusalByAColdKeeperIsNotFinal checks that the next keeper is asked after a refusal by a
// cold keeper, which doesn't know what was used, but not after one by a warm keeper.
func TestRefusalByAColdKeeperIsNotFinal(t *testing.T) {
	for _, cold := range []bool{true, false} {
		conn := silentNode(t)
		exchange := quotaNodes(t, 4, quotaZeroTolerance, conn)[0]
		tenant := tenantKeptFirstBy(t, exchange, connAddress(conn))
		answered := make(chan struct{})
		go func() {
			defer close(answered)
			form, from := nextQuota(t, conn, isAsk)
			answerQuota(t, conn, from, wireQuotaReply{ID: form.Ask.ID, Cold: cold, WaitMillis: 70})
		}()
		verdict := exchange.ChargeQuota(t.Context(), requestOf(tenant, 10))
		<-answered
		// If the answer is late, the next keeper decides too.
		if cold && !verdict.Granted || !cold && verdict.Granted && verdict.Unanswered == 0 {
			t.Errorf("cold %v: %+v", cold, verdict)
		}
	}
}

// TestRestartOfAllKeepersGrantsNoSecondBurst checks that no tenant gets a second burst after
// all nodes lost power and restarted.
func TestRestartOfAllKeepersGrantsNoSecondBurst(t *testing.T) {
	exchanges := quotaNodes(t, 3, quota.Tolerance{Window: 8 * time.Second, Slack: 400})
	for _, exchange := range exchanges {
		exchange.quota.mu.Lock()
		exchange.quota.keeper = quota.NewKeeper(quota.Tolerance{Window: 8 * time.Second, Slack: 400}, time.Now())
		exchange.quota.mu.Unlock()
	}
	if verdict := exchanges[0].ChargeQuota(t.Context(), requestOf("a", 400)); verdict.Granted || verdict.Private {
		t.Errorf("%+v", verdict)
	}
	if verdict := exchanges[0].ChargeQuota(t.Context(), requestOf("a", 90)); !verdict.Granted {
		t.Errorf("%+v", verdict)
	}
}

// TestNodeWithoutKeepersUsesItsAllowance checks that a node that reaches no keeper grants its
// own allowance, and asks the keepers again once they answer.
func TestNodeWithoutKeepersUsesItsAllowance(t *testing.T) {
	tolerance := quota.Tolerance{Window: 8 * time.Second, Slack: 800}
	silent := []*net.UDPConn{silentNode(t), silentNode(t), silentNode(t)}
	exchange := quotaNodes(t, 1, tolerance, silent...)[0]
	tenant := tenantKeptByOthers(exchange)
	granted := 0.0
	for range 20 {
		verdict := exchange.ChargeQuota(t.Context(), requestOf(tenant, 10))
		if !verdict.Private {
			t.Fatalf("%+v", verdict)
		}
		if verdict.Granted {
			granted += 10
		}
	}
	// Each of four nodes may grant a quarter of half of 800 in a window, plus what refills in the
	// meantime.
	if granted < 100 || granted > 150 {
		t.Errorf("%v granted without a keeper, want 100", granted)
	}
	first := firstKeeper(exchange, tenant, silent)
	account := requestOf(tenant, 10).Charge().Account
	go grantAll(first, account)
	for end := time.Now().Add(20 * time.Second); ; {
		verdict := exchange.ChargeQuota(t.Context(), requestOf(tenant, 10))
		if !verdict.Private && verdict.Granted {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("although a keeper answers: %+v", verdict)
		}
	}
}

// grantAll grants all requests on behalf of a silent node until its socket is closed.
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

// TestKeeperReservesAShareForSilentNodes checks that a keeper that doesn't hear the other
// keepers reserves the share of the nodes that may be using theirs with those keepers.
func TestKeeperReservesAShareForSilentNodes(t *testing.T) {
	silent := []*net.UDPConn{silentNode(t), silentNode(t)}
	exchange := quotaNodes(t, 1, quotaZeroTolerance, silent...)[0]
	account := requestOf("a", 1).Charge().Account
	now := time.Now()
	ask := func(node string, address netip.AddrPort, age time.Duration, at time.Time) quota.Decision {
		report := quota.Report{Limit: requestOf("a", 1).Limit, Version: 1, Age: age}
		return exchange.quota.decide(quota.DecisionRequest{From: quota.Spender{Node: node, Address: address}, Account: account, Cost: 100, Report: report}, at)
	}
	ask("here", exchange.peers.address, 0, now)
	ask("beyond", connAddress(silent[0]), 0, now)
	exchange.quota.heardFrom(connAddress(silent[0]), now.Add(time.Second))
	exchange.quota.heardFrom(connAddress(silent[1]), now.Add(time.Second))
	if decision := ask("here", exchange.peers.address, time.Second, now.Add(time.Second+quota.SilentAfter)); decision.Reserved != 0 {
		t.Errorf("%v is reserved although all keepers are heard", decision.Reserved)
	}
	if decision := ask("here", exchange.peers.address, time.Second, now.Add(4*time.Second)); decision.Reserved < 0.2 || decision.Reserved > 0.6 {
		t.Errorf("%v is reserved for the silent nodes", decision.Reserved)
	}
}

func TestPausedKeeperGrantsNoBurst(t *testing.T) {
	silent := []*net.UDPConn{silentNode(t), silentNode(t)}
	exchange := quotaNodes(t, 1, quotaZeroTolerance, silent...)[0]
	now := time.Now()
	ask := quota.DecisionRequest{
		From: quota.Spender{Node: "other", Address: connAddress(silent[0])}, Account: requestOf("a", 1).Charge().Account,
		Cost: 10, Report: quota.Report{Limit: requestOf("a", 1).Limit, Version: 1},
	}
	if !exchange.quota.decide(ask, now).Granted {
		t.Error("a warm keeper refuses")
	}
	exchange.quota.mu.Lock()
	exchange.quota.lastRan = clock.Boottime().Add(-2 * quota.SilentAfter)
	exchange.quota.mu.Unlock()
	if decision := exchange.quota.decide(ask, now); decision.Granted || !decision.Cold {
		t.Errorf("a keeper that was paused grants a burst: %+v", decision)
	}
}

// TestIsolatedKeeperGrantsNoBurst checks that a keeper that heard no other node, because it was
// frozen or cut off, doesn't assume that nothing was used.
func TestIsolatedKeeperGrantsNoBurst(t *testing.T) {
	silent := []*net.UDPConn{silentNode(t), silentNode(t)}
	exchange := quotaNodes(t, 1, quotaZeroTolerance, silent...)[0]
	now := time.Now()
	report := quota.Report{Limit: requestOf("a", 1).Limit, Version: 1}
	account := requestOf("a", 1).Charge().Account
	decide := func(at time.Time) quota.Decision {
		return exchange.quota.decide(quota.DecisionRequest{From: quota.Spender{Node: "other", Address: connAddress(silent[0])}, Account: account, Cost: 10, Report: report}, at)
	}
	exchange.quota.heardFrom(connAddress(silent[0]), now)
	if !decide(now).Granted {
		t.Error("a warm keeper refuses")
	}
	exchange.quota.heardFrom(connAddress(silent[0]), now.Add(quota.SilentAfter))
	if decision := decide(now.Add(quota.SilentAfter)); decision.Level < 900 {
		t.Errorf("a keeper that heard other nodes lost its counts: %+v", decision)
	}
	exchange.quota.heardFrom(connAddress(silent[0]), now.Add(3*quota.SilentAfter))
	if decision := decide(now.Add(3 * quota.SilentAfter)); decision.Granted || !decision.Cold {
		t.Errorf("a keeper that heard no other node grants a burst: %+v", decision)
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

// TestQuietNodesAreProbed checks that a keeper probes the nodes that use an account if another
// keeper is silent, and reserves nothing for one that answers, even if it uses little.
func TestQuietNodesAreProbed(t *testing.T) {
	silent := []*net.UDPConn{silentNode(t), silentNode(t)}
	exchange := quotaNodes(t, 1, quotaZeroTolerance, silent...)[0]
	account := requestOf("a", 1).Charge().Account
	user := silent[0]
	report := quota.Report{Limit: requestOf("a", 1).Limit, Version: 1}
	exchange.quota.decide(quota.DecisionRequest{From: quota.Spender{Node: "user", Address: connAddress(user)}, Account: account, Cost: 100, Report: report}, time.Now())
	nextQuota(t, user, func(form quotaMessage) bool { return form.Probe == account })
	exchange.quota.receive(connAddress(user), "user", quotaMessage{Reports: map[string]wireQuotaReport{account: renderQuotaReport(report)}})
	if decision := exchange.quota.decide(quota.DecisionRequest{From: exchange.quota.self(), Account: account, Cost: 1, Report: report}, time.Now()); decision.Reserved != 0 {
		t.Errorf("%v is reserved for a node that answers", decision.Reserved)
	}
}

// TestProbedNodeAnswers checks that a node answers a probe even from a node that isn't a keeper
// of the account.
func TestProbedNodeAnswers(t *testing.T) {
	silent := []*net.UDPConn{silentNode(t), silentNode(t), silentNode(t), silentNode(t)}
	exchange := quotaNodes(t, 1, quotaZeroTolerance, silent...)[0]
	for _, conn := range silent {
		for i := 0; ; i++ {
			account := requestOf(fmt.Sprint("tenant", i), 10).Charge().Account
			if slices.Contains(exchange.quota.keepersOf(account), connAddress(conn)) {
				continue
			}
			exchange.ChargeQuota(t.Context(), requestOf(fmt.Sprint("tenant", i), 10))
			exchange.quota.receive(connAddress(conn), "prober", quotaMessage{Probe: account})
			nextQuota(t, conn, func(form quotaMessage) bool { _, told := form.Reports[account]; return told })
			break
		}
	}
}

// TestDecisionsFollowTheNewRanking checks that after nodes were added every decision counts an
// account as new on this node, whichever of the concurrent decisions notices the change first.
func TestDecisionsFollowTheNewRanking(t *testing.T) {
	exchange := quotaNodes(t, 1, quota.Tolerance{Window: 8 * time.Second, Slack: 400})[0]
	for i := range 200 { // accounts for which the keepers must be ranked again
		exchange.quota.decide(quota.DecisionRequest{From: exchange.quota.self(), Account: requestOf(fmt.Sprint("known", i), 1).Charge().Account, Cost: 1, Report: quota.Report{Limit: requestOf("a", 1).Limit}}, time.Now())
	}
	report := quota.Report{Limit: requestOf("a", 1).Limit, Version: 1}
	for round := range 50 {
		exchange.quota.mu.Lock()
		exchange.quota.keeper.KeepersChanged(func(string) bool { return true }, time.Now().Add(-refillTime))
		exchange.quota.mu.Unlock()
		exchange.AddPeers([]Peer{{Node: fmt.Sprint("added", round), Address: netip.AddrPortFrom(exchange.peers.address.Addr(), uint16(1+round))}})
		var deciding sync.WaitGroup
		for i := range 8 {
			deciding.Go(func() {
				account := requestOf(fmt.Sprintf("new%d-%d", round, i), 1).Charge().Account
				decision := exchange.quota.decide(quota.DecisionRequest{From: exchange.quota.self(), Account: account, Cost: 1, Report: report}, time.Now())
				if decision.Level > 101 { // a quarter of the slack, and what refills in the meantime
					t.Errorf("round %d: an account that is new on this node has the level %v", round, decision.Level)
				}
			})
		}
		deciding.Wait()
	}
}

// TestKeeperThatDoesNotKnowTheNodesStartsCold guards against a node that starts while the store
// can't be read and takes itself for the only keeper: it would grant a burst and the rate since
// its start beside what the other keepers grant.
func TestKeeperThatDoesNotKnowTheNodesStartsCold(t *testing.T) {
	tolerance := quota.Tolerance{Window: 8 * time.Second, Overshoot: 0.1, Slack: 4}
	limit := quota.Limit{Rate: 0.001, Burst: 100, Unit: quota.Requests}
	burst := func(exchange *Exchange, account string) int {
		for granted := 0; ; granted++ {
			request := quota.DecisionRequest{Account: account, From: quota.Spender{Node: "n"}, Cost: 1}
			request.Report = quota.Report{Limit: limit, Version: 1, Counters: quota.Counters{Taken: float64(granted)}}
			if !exchange.quota.decide(request, time.Now()).Granted {
				return granted
			}
		}
	}
	exchange, err := Listen("127.0.0.1:0", "n", "zone", newRegistry("w"), quiet())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = exchange.conn.Close() })
	exchange.started = time.Now().Add(-refillTime)
	exchange.SetQuota(tolerance)
	most := int(tolerance.MaxExcess(limit)) // what all nodes together may grant beyond the limit
	if got := burst(exchange, "before"); got > most/2 {
		t.Errorf("without the list of nodes: %d requests are granted at once, want %d at most", got, most/2)
	}
	exchange.AddPeers(nil)
	if got := burst(exchange, "listed just now"); got > most/2 {
		t.Errorf("just after the list of nodes was read: %d requests are granted at once, want %d at most", got, most/2)
	}
	exchange.quota.keeper.KeepersChanged(func(string) bool { return true }, time.Now().Add(-refillTime))
	if got := burst(exchange, "listed long ago"); got < int(limit.Burst) {
		t.Errorf("with a list that has been known for long: %d requests are granted at once, want %v", got, limit.Burst)
	}
}

// TestKeepersThatStartTogetherGrantOnce guards against a request that is refused by one cold
// keeper and granted by another, which knows no more and hasn't heard of the last grants yet.
func TestKeepersThatStartTogetherGrantOnce(t *testing.T) {
	tolerance := quota.Tolerance{Window: 8 * time.Second, Overshoot: 0.1, Slack: 4}
	exchanges := quotaNodes(t, 3, tolerance)
	limit := quota.Limit{Rate: 0.001, Burst: 100, Unit: quota.Requests}
	request := quota.ChargeRequest{Tenant: "a", Limit: limit, Version: 1, Cost: 1}
	keepers := exchanges[0].quota.keepersOf(request.Charge().Account)
	startAt := func(keeper netip.AddrPort, at time.Time) {
		for _, exchange := range exchanges {
			if exchange.peers.address == keeper {
				exchange.quota.mu.Lock()
				exchange.quota.keeper.KeepersChanged(func(string) bool { return false }, at)
				exchange.quota.mu.Unlock()
			}
		}
	}
	refusal := func() quota.Outcome {
		for {
			if verdict := exchanges[0].ChargeQuota(t.Context(), request); !verdict.Granted {
				return verdict
			}
		}
	}
	begun := time.Now()
	for _, keeper := range keepers {
		startAt(keeper, begun)
	}
	refusal() // tells how much each keeper knows
	if asked := refusal().Asked; asked != 1 {
		t.Errorf("%d keepers were asked that know equally much, want 1", asked)
	}
	startAt(keepers[0], time.Now())
	time.Sleep(2 * minMoreKnown)
	startAt(keepers[0], time.Now())
	if asked := refusal().Asked; asked < 2 { // it isn't known yet that the first one has started
		t.Error("keepers that know more than the first one weren't asked")
	}
	if decided := refusal().Keeper; decided == keepers[0].String() {
		t.Error("the first keeper decided although others know more")
	}
}

// TestRestartsOfAKeeperInARowGrantNoMore guards against a keeper that grants, at each start, what the others know to be used.
func TestRestartsOfAKeeperInARowGrantNoMore(t *testing.T) {
	tolerance := quota.Tolerance{Window: 8 * time.Second, Overshoot: 0.1, Slack: 4}
	limit := quota.Limit{Rate: 0.001, Burst: 10, Unit: quota.Requests}
	exchanges := quotaNodes(t, 3, tolerance)
	request := quota.ChargeRequest{Tenant: "a", Limit: limit, Version: 1, Cost: 1}
	first := exchanges[0].quota.keepersOf(request.Charge().Account)[0]
	granted := 0
	useAll := func() {
		for _, exchange := range exchanges {
			for exchange.ChargeQuota(t.Context(), request).Granted {
				granted++
			}
		}
	}
	useAll()
	for range 12 {
		for _, exchange := range exchanges {
			if exchange.peers.address == first {
				exchange.quota.mu.Lock()
				exchange.quota.keeper.KeepersChanged(func(string) bool { return false }, time.Now())
				exchange.quota.mu.Unlock()
			}
		}
		useAll()
	}
	if most := limit.Burst + tolerance.MaxExcess(limit); float64(granted) > most {
		t.Errorf("%d requests were granted, %.1f are allowed", granted, most)
	}
}
