package bench

import (
	"context"
	"net/http"

	"github.com/tinarch/tinarch/internal/lab/platform"
)

// freeAddresses returns addresses on which nothing listens now.
func freeAddresses(count int) ([]string, error) {
	addresses := make([]string, 0, count)
	for range count {
		listener, err := platform.Listen()
		if err != nil {
			return nil, err
		}
		defer listener.Close()
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses, nil
}

func answersReady(ctx context.Context, address string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/readyz", nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
