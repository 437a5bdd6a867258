// Package abuse runs nodes as processes with the memory and descriptors of a small machine, plays
// clients that misbehave against them beside ordinary ones, and checks that no process ends or
// passes its memory, that ordinary callers are served, and that readiness is answered.
package abuse

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/tinarch/tinarch/internal/result"
)

// Options configure a run.
type Options struct {
	// Program is the path of tinarchd, and Directory holds the nodes' settings and logs.
	Program, Directory string
	Seed               uint64
	// Calm is how long ordinary callers are alone before, and Length how long clients misbehave.
	Calm, Length time.Duration
	// Kinds are the names of the kinds to play, all at the same time, each with an equal part of
	// its connections. If it is empty, the seed chooses two to four kinds, and others as time goes on.
	Kinds []string
	// Changes reloads the settings, changes the configuration, and restarts the other node meanwhile,
	// and stops the node under attack at the end.
	Changes bool
	// Share is the part of a core that the node under attack gets, as by a quota of the system: it is paused
	// for the rest of each sharePeriod. Zero and one mean no quota.
	Share float64
	// Gateways makes the nodes gateways, whose only port for clients is that of callers. Changes aren't played.
	Gateways bool
	// ManyAddresses makes clients connect from many addresses.
	ManyAddresses bool
	// MemoryMegabytes and Descriptors are those of the machine. A process that passes the memory is
	// killed.
	MemoryMegabytes, Descriptors int
	// Rate is the number of ordinary requests a second, and Timeout how long each may take.
	Rate    float64
	Timeout time.Duration
}

// Smallest machine of the platform.
const (
	SmallestMemory      = 144
	SmallestDescriptors = 3075
)

// Thresholds of a run.
const (
	leastServed = 0.95
	// settleTime is the default of clients.stall_ms.
	settleTime     = 10 * time.Second
	stopDelay      = time.Second
	reconnectPause = 50 * time.Millisecond
	kindsLength    = 4 * time.Second
	memoryInterval = 10 * time.Millisecond
)

// Report is the result of a run.
type Report struct {
	Seed   uint64
	Played []string
	// Before and Meanwhile are the ordinary requests served without and beside the other clients.
	Before, Meanwhile share
	// Ready is how many questions for readiness were answered meanwhile.
	Ready share
	// PeakMegabytes is the most memory of the node under attack.
	PeakMegabytes float64
	// Refused is how many requests, of all clients, were refused as not run.
	Refused int
	// Failures are the causes for which ordinary requests failed.
	Failures map[string]int
	// StopTook is how long the stop under attack took, zero without one.
	StopTook time.Duration
	// Broken lists what didn't hold.
	Broken []string
}

// String describes the report in one line.
func (r *Report) String() string {
	text := fmt.Sprintf("seed %d %s: peak %.0f MB, served %d of %d (%.3f; before %.3f), ready %d of %d, refused %d",
		r.Seed, strings.Join(r.Played, "+"), r.PeakMegabytes, r.Meanwhile.Served, r.Meanwhile.Sent, r.Meanwhile.value(), r.Before.value(), r.Ready.Served, r.Ready.Sent, r.Refused)
	if r.StopTook > 0 {
		text += fmt.Sprintf(", stopped in %.1f s", r.StopTook.Seconds())
	}
	if len(r.Failures) > 0 {
		text += fmt.Sprintf(", %v", r.Failures)
	}
	for _, broken := range r.Broken {
		text += "\n  broken: " + broken
	}
	return text
}

// run is a run under way.
type run struct {
	*site
	random   *rand.Rand
	target   *node
	ordinary *ordinary
	report   *Report
	ids      requestIDs

	mu   sync.Mutex
	peak int64
	// overrun tells that the node was killed since it passed its memory.
	overrun bool
}

// Run plays one run.
func Run(ctx context.Context, options Options) (*Report, error) {
	kinds, err := kindsOf(options.Kinds)
	if err != nil {
		return nil, err
	}
	if err := options.check(kinds); err != nil {
		return nil, err
	}
	s, err := startSite(ctx, options)
	if err != nil {
		return nil, err
	}
	defer s.close()
	r := &run{site: s, random: rand.New(rand.NewPCG(options.Seed, 1)), target: s.nodes[0], report: &Report{Seed: options.Seed}}
	r.ordinary = newOrdinary(s, r.target, options.Timeout)
	watchCtx, stopWatch := context.WithCancel(ctx)
	defer stopWatch()
	go r.watchMemory(watchCtx)
	if options.Share > 0 && options.Share < 1 {
		go r.throttle(watchCtx)
	}
	r.playOrdinary(ctx, options.Calm)
	r.report.Before, _, _ = r.ordinary.take()
	r.playAbuse(ctx, kinds)
	r.report.PeakMegabytes = float64(r.peakMemory()) / (1 << 20)
	r.ids.mu.Lock()
	defer r.ids.mu.Unlock()
	r.judge()
	return r.report, ctx.Err()
}

// check returns what gateways can't play.
func (o Options) check(kinds []Kind) error {
	switch {
	case !o.Gateways:
		return nil
	case o.Changes || len(kinds) == 0:
		return result.New(result.SettingsInvalid, "gateways play kinds by name, without changes")
	}
	for _, kind := range kinds {
		if kind.Port != Callers {
			return result.New(result.SettingsInvalid, "%s: a gateway has no port for %s", kind.Name, kind.Port)
		}
	}
	return nil
}

// kindsOf returns the kinds with these names.
func kindsOf(names []string) ([]Kind, error) {
	var chosen []Kind
	for _, name := range names {
		at := slices.IndexFunc(Kinds(), func(k Kind) bool { return k.Name == name })
		if at < 0 {
			return nil, result.New(result.SettingsInvalid, "no kind of client is called %q", name)
		}
		chosen = append(chosen, Kinds()[at])
	}
	return chosen, nil
}

func (r *run) playOrdinary(ctx context.Context, length time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, length)
	defer cancel()
	r.ordinary.run(ctx, r.options.Rate)
}

// playAbuse plays the kinds beside ordinary requests, and then looks how the node fares in calm.
func (r *run) playAbuse(ctx context.Context, kinds []Kind) {
	abuseCtx, stop := context.WithTimeout(ctx, r.options.Length)
	defer stop()
	var playing sync.WaitGroup
	playing.Go(func() { r.ordinary.run(abuseCtx, r.options.Rate) })
	if r.options.Changes {
		playing.Go(func() { r.change(abuseCtx) })
	}
	if len(kinds) > 0 {
		r.play(abuseCtx, kinds)
	}
	for len(kinds) == 0 && abuseCtx.Err() == nil {
		part, cancel := context.WithTimeout(abuseCtx, kindsLength)
		r.play(part, r.chooseKinds())
		cancel()
	}
	playing.Wait()
	r.report.Meanwhile, r.report.Ready, r.report.Failures = r.ordinary.take()
	if !r.overran() && r.target.Memory() == 0 {
		r.broken("the node under attack has ended")
		return
	}
	for _, failed := range r.askInCalm(ctx) {
		r.broken("%s", failed)
	}
	if r.options.Changes {
		r.stopUnderAttack(ctx)
	}
}

// askInCalm sends the largest requests until they are served. Calm begins once the node has closed what
// clients left behind, which is settleTime after their end at the latest.
func (r *run) askInCalm(ctx context.Context) []string {
	ctx, cancel := context.WithTimeout(ctx, settleTime)
	defer cancel()
	for {
		failed := r.ordinary.askLargest()
		if len(failed) == 0 || !sleep(ctx, settleTime/20) {
			return failed
		}
	}
}

// chooseKinds returns two to four kinds.
func (r *run) chooseKinds() []Kind {
	all := Kinds()
	r.random.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:2+r.random.IntN(3)]
}

// play plays kinds at the same time until ctx is done.
func (r *run) play(ctx context.Context, kinds []Kind) {
	var clients sync.WaitGroup
	defer clients.Wait()
	for _, kind := range kinds {
		r.report.Played = append(r.report.Played, kind.Name)
		for range max(kind.Connections/len(kinds), 1) {
			local := r.localAddress()
			clients.Go(func() { r.misbehave(ctx, kind, local) })
		}
	}
}

// localAddress returns the address that a client connects from, nil for the system's choice.
func (r *run) localAddress() net.Addr {
	if !r.options.ManyAddresses {
		return nil
	}
	ip := netip.AddrFrom4([4]byte{127, 7, byte(r.random.IntN(250)), byte(1 + r.random.IntN(250))})
	return net.TCPAddrFromAddrPort(netip.AddrPortFrom(ip, 0))
}

// misbehave is one client, which connects again whenever its connection is closed.
func (r *run) misbehave(ctx context.Context, kind Kind, local net.Addr) {
	dialer := &net.Dialer{LocalAddr: local, Timeout: r.options.Timeout}
	for ctx.Err() == nil {
		c, err := dialer.DialContext(ctx, "tcp4", r.target.address(kind.Port))
		if err == nil {
			stop := context.AfterFunc(ctx, func() { // what is still unsent would be sent after a Close
				_ = reset(ctx, c)
				_ = c.Close()
			})
			kind.play(ctx, c, &r.ids)
			stop()
			_ = c.Close()
		}
		sleep(ctx, reconnectPause)
	}
}

// change reloads the settings, changes the configuration and restarts the other node, again and again.
func (r *run) change(ctx context.Context) {
	other := r.nodes[1]
	for sleep(ctx, 300*time.Millisecond) {
		r.target.Signal(syscall.SIGHUP)
		r.configure()
		other.Signal(syscall.SIGTERM)
		if !sleep(ctx, time.Second) {
			break
		}
		r.target.Signal(syscall.SIGHUP)
		r.configure()
		other.Kill()
		if other.Start() != nil {
			return
		}
	}
	other.Kill()
}

// stopUnderAttack stops the node while clients misbehave, and checks that it ends in time.
func (r *run) stopUnderAttack(ctx context.Context) {
	const slack = 500 * time.Millisecond
	ctx, cancel := context.WithTimeout(ctx, 2*stopMillis*time.Millisecond)
	defer cancel()
	var playing sync.WaitGroup
	playing.Go(func() { r.play(ctx, r.chooseKinds()) })
	sleep(ctx, stopDelay)
	begun := time.Now()
	r.target.Signal(syscall.SIGTERM)
	ended := r.target.Wait(ctx)
	r.report.StopTook = time.Since(begun)
	cancel()
	playing.Wait()
	if !ended || r.report.StopTook > stopMillis*time.Millisecond+slack {
		r.broken("the node took %v to stop; %d ms are allowed", r.report.StopTook, stopMillis)
	}
}

// watchMemory kills the node once it passes the memory of its machine.
func (r *run) watchMemory(ctx context.Context) {
	for sleep(ctx, memoryInterval) {
		used := r.target.Memory()
		r.mu.Lock()
		r.peak = max(r.peak, used)
		r.mu.Unlock()
		if used <= int64(r.options.MemoryMegabytes)<<20 {
			continue
		}
		r.target.Kill()
		r.mu.Lock()
		r.overrun = true
		r.mu.Unlock()
		return
	}
}

// sharePeriod is the period of a quota of the system.
const sharePeriod = 100 * time.Millisecond

// throttle pauses the node under attack for a part of each period.
func (r *run) throttle(ctx context.Context) {
	runs := time.Duration(r.options.Share * float64(sharePeriod))
	for sleep(ctx, runs) {
		r.target.Signal(syscall.SIGSTOP)
		ended := !sleep(ctx, sharePeriod-runs)
		r.target.Signal(syscall.SIGCONT)
		if ended {
			return
		}
	}
}

func (r *run) peakMemory() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.peak
}

func (r *run) overran() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.overrun
}

func (r *run) broken(format string, values ...any) {
	r.report.Broken = append(r.report.Broken, fmt.Sprintf(format, values...))
}

// judge checks what must hold.
func (r *run) judge() {
	if r.overran() {
		r.broken("the node passed the %d MB of its machine and was killed", r.options.MemoryMegabytes)
	}
	if r.report.Meanwhile.value() < leastServed*r.report.Before.value() {
		r.broken("%.3f of the ordinary requests were served, %.3f before; %.2f of that are wanted", r.report.Meanwhile.value(), r.report.Before.value(), leastServed)
	}
	if r.report.Ready.Served < r.report.Ready.Sent {
		r.broken("readiness was answered %d times of %d", r.report.Ready.Served, r.report.Ready.Sent)
	}
	r.report.Refused = len(r.ordinary.refused) + len(r.ids.refused)
	for _, id := range slices.Concat(r.ordinary.refused, r.ids.refused) {
		if r.hasRun(id) {
			r.broken("request %s was refused as not run, and ran", id)
		}
	}
}
