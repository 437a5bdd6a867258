package fleetworker

import (
	"net/http"
	"strings"
	"testing"
	"time"
)

// TestOrdersAreNoRequests: an order changes the stage in the worker's list entry and isn't
// counted as a request that ran.
func TestOrdersAreNoRequests(t *testing.T) {
	staged := 0
	w := Start(Options{ID: "w", Stage: "decode", OnStageChange: func(*Worker) { staged++ }})
	defer w.Close()
	for _, order := range []struct {
		body string
		want int
	}{
		{`{"Op":"Stage","Stage":"prefill","Holder":"n","Fence":3}`, http.StatusAccepted},
		{`{"Op":"Stage","Stage":"prefill","Holder":"n","Fence":3}`, http.StatusOK},
		{`{"Op":"Stage","Stage":"decode","Holder":"n"}`, http.StatusBadRequest},
		{`{"Op":"Other","Stage":"decode","Holder":"n","Fence":3}`, http.StatusBadRequest},
		{`{`, http.StatusBadRequest},
	} {
		request, err := http.NewRequest(http.MethodPost, "http://"+w.Address()+"/v1/order", strings.NewReader(order.body))
		if err != nil {
			t.Fatal(err)
		}
		request.Header.Set("X-Expect-Instance", "w")
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			t.Fatal(err)
		}
		_ = response.Body.Close()
		if response.StatusCode != order.want {
			t.Errorf("%s: %d, want %d", order.body, response.StatusCode, order.want)
		}
	}
	if w.Entry("ready")["Stage"] != "prefill" || staged != 1 || w.Orders() != 1 || len(w.Runs()) != 0 {
		t.Errorf("stage %v, OnStageChange called %d times, %d orders, %d runs", w.Entry("ready")["Stage"], staged, w.Orders(), len(w.Runs()))
	}
}

// TestLateOrderIsSeen: a late order is carried out without an answer, and one that is carried
// out after a newer holder's order is a violation.
func TestLateOrderIsSeen(t *testing.T) {
	w := Start(Options{ID: "w", Stage: "decode"})
	defer w.Close()
	w.SetLateOrders(time.Millisecond)
	body := `{"Op":"Stage","Stage":"prefill","Holder":"n","Fence":1}`
	request, err := http.NewRequest(http.MethodPost, "http://"+w.Address()+"/v1/order", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("X-Expect-Instance", "w")
	if response, err := http.DefaultClient.Do(request); err == nil {
		_ = response.Body.Close()
		t.Error("a late order was answered")
	}
	if w.Orders() != 1 {
		t.Errorf("%d orders carried out", w.Orders())
	}
	for _, example := range []struct {
		fence  uint64
		broken int
	}{{3, 0}, {3, 0}, {2, 1}} {
		w.carryOut(stageOrder{Stage: "decode", Fence: example.fence})
		if violations := w.Fences().Violations(time.Minute); len(violations) != example.broken {
			t.Errorf("fencing token %d: %v", example.fence, violations)
		}
	}
}
