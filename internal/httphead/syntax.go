package httphead

import (
	"bytes"
	"net/http"
	"strings"

	"github.com/rotisserie/eris"
	"golang.org/x/net/http/httpguts"
)

const (
	// minStatus and maxStatus bound the statuses of answers (RFC 9110, section 15).
	minStatus, maxStatus = 100, 599

	headerUpgrade          = "Upgrade"
	headerTransferEncoding = "Transfer-Encoding"
)

// Check returns an error if the head of a response isn't one of an answer in HTTP/1 (RFC 9112), although net/http has
// taken it for one. All answers that this node reads pass it before anything of them is used.
func Check(response *http.Response) error {
	switch status := response.StatusCode; {
	case response.ProtoMajor != 1:
		return eris.Errorf("the answer has the version %q; HTTP/1 is spoken here", response.Proto)
	case status < minStatus || status > maxStatus:
		return eris.Errorf("the answer has the status %q; statuses are %d to %d", response.Status, minStatus, maxStatus)
	case !httpguts.ValidHeaderFieldValue(response.Status):
		return eris.Errorf("the answer has the status %.80q with a control byte", response.Status)
	case status == http.StatusSwitchingProtocols && !isAskedUpgrade(response):
		return eris.New("the answer switches to a protocol that wasn't asked for")
	}
	return checkNames(response.Header)
}

// CheckTrailer is Check for the trailer of a response, which is known once its body has been read to io.EOF.
func CheckTrailer(response *http.Response) error { return checkNames(response.Trailer) }

func checkNames(fields http.Header) error {
	for name := range fields {
		if !httpguts.ValidHeaderFieldName(name) {
			return eris.Errorf("the answer has a field with the name %.80q, which is no token", name)
		}
	}
	return nil
}

// isAskedUpgrade reports whether a response switches to the protocol that its request asked for.
func isAskedUpgrade(response *http.Response) bool {
	if response.Request == nil {
		return false
	}
	asked := response.Request.Header.Get(headerUpgrade)
	return asked != "" && strings.EqualFold(asked, response.Header.Get(headerUpgrade))
}

var (
	errHTTP10Encoding = eris.New("the answer is of HTTP/1.0 and has a Transfer-Encoding, so nothing tells where its body ends")
	errHTTP10Unframed = eris.New("the answer is of HTTP/1.0 and has no Content-Length, so nothing tells where its body ends")
)

// checkHTTP10 returns an error if the raw head of an HTTP/1.0 answer has a Transfer-Encoding (RFC 9112, section 6.1).
// net/http drops that field, and takes the encoded body for the answer's.
func checkHTTP10(head []byte) error {
	for line := range bytes.Lines(head) {
		name, _, _ := bytes.Cut(line, []byte{':'})
		if strings.EqualFold(string(bytes.TrimSpace(name)), headerTransferEncoding) {
			return errHTTP10Encoding
		}
	}
	return nil
}

// Transport returns a transport whose responses have passed Check, and tell where their body ends: whether an
// HTTP/1.0 answer had a Transfer-Encoding isn't known here, as net/http has dropped it.
func Transport(inner http.RoundTripper) http.RoundTripper { return checkedTransport{inner} }

type checkedTransport struct{ http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (t checkedTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := t.RoundTripper.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	err = Check(response)
	if err == nil && request.Method != http.MethodHead && !response.ProtoAtLeast(1, 1) && response.ContentLength < 0 {
		err = errHTTP10Unframed
	}
	if err != nil {
		_ = response.Body.Close()
		return nil, err
	}
	return response, nil
}

// CloseIdleConnections closes the idle connections of the inner transport, as http.Client expects.
func (t checkedTransport) CloseIdleConnections() {
	if closer, ok := t.RoundTripper.(interface{ CloseIdleConnections() }); ok {
		closer.CloseIdleConnections()
	}
}
