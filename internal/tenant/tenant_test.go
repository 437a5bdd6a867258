package tenant

import "testing"

func TestOwnerOfAKeyIsFound(t *testing.T) {
	ring := NewKeyring[Tenant]()
	ring.Add(DigestOf("key of a"), New("a"))
	ring.Add(DigestOf("another of a"), New("a"))
	ring.Add(DigestOf("key of b"), New("b"))
	for key, want := range map[string]string{"key of a": "a", "another of a": "a", "key of b": "b"} {
		owner, found := ring.Owner(key)
		if !found || owner.Name() != want {
			t.Errorf("key %q belongs to %q (%v), want %q", key, owner.Name(), found, want)
		}
	}
	for _, key := range []string{"", "key of A", "key of a ", "key of c"} {
		if owner, found := ring.Owner(key); found {
			t.Errorf("key %q belongs to %q, want nobody", key, owner.Name())
		}
	}
	if ring.Len() != 3 {
		t.Errorf("%d keys, want 3", ring.Len())
	}
}

func TestFirstOwnerOfAKeyCounts(t *testing.T) {
	ring := NewKeyring[Tenant]()
	ring.Add(DigestOf("shared"), New("first"))
	ring.Add(DigestOf("shared"), New("second"))
	if owner, _ := ring.Owner("shared"); owner.Name() != "first" {
		t.Errorf("the key belongs to %q, want first", owner.Name())
	}
}

func TestPriorityOfTheTenantOverridesTheRoutes(t *testing.T) {
	if got := New("plain").Priority(2); got != 2 {
		t.Errorf("a tenant without a priority has %d, want the route's 2", got)
	}
	if got := New("urgent").WithPriority(0).Priority(2); got != 0 {
		t.Errorf("a tenant of priority 0 has %d, want 0", got)
	}
}
