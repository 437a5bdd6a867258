// Package objects is the client for the platform's object store, which has the S3 API (Amazon
// S3 API Reference, version 2006-03-01). Each object is written under a name that is never used
// for another, so repeating a write is harmless.
package objects

import (
	"bytes"
	"context"
	"errors"
	"io"
	"time"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/credentials"
	"github.com/aws/aws-sdk-go-v2/service/s3"
	"github.com/aws/aws-sdk-go-v2/service/s3/types"
	"github.com/cenkalti/backoff/v5"
	"golang.org/x/time/rate"

	"github.com/tinarch/tinarch/internal/platform/httpclient"
	"github.com/tinarch/tinarch/internal/result"
)

// ErrNotFound means that there is no object with the name.
var ErrNotFound = errors.New("objects: no such object")

// errNoLength means that an answer of the store states no length, so that the end of its
// connection doesn't prove that the object is complete.
var errNoLength = errors.New("the object's length isn't stated, so a part of it would pass for the whole")

// Settings configure a Client. RequestsPerSecond limits the rate of this node's requests.
// Attempt limits the time of one try, Total that of all tries of a call together.
type Settings struct {
	Endpoint          string
	Region            string
	Bucket            string
	AccessKey         string
	SecretKey         string
	RequestsPerSecond float64
	Attempt           time.Duration
	Total             time.Duration
}

const (
	defaultRequestsPerSecond = 20
	defaultAttempt           = 5 * time.Second
	defaultTotal             = 10 * time.Second
	maxObjectBytes           = 256 << 20
	burst                    = 10
)

// Client reads and writes objects.
type Client struct {
	settings Settings
	s3       *s3.Client
	limiter  *rate.Limiter
}

// New returns a client. It does not connect.
func New(settings Settings) *Client {
	if settings.RequestsPerSecond <= 0 {
		settings.RequestsPerSecond = defaultRequestsPerSecond
	}
	if settings.Attempt <= 0 {
		settings.Attempt = defaultAttempt
	}
	if settings.Total <= 0 {
		settings.Total = defaultTotal
	}
	options := s3.Options{
		BaseEndpoint:               aws.String(settings.Endpoint),
		Region:                     settings.Region,
		UsePathStyle:               true,
		Credentials:                credentials.NewStaticCredentialsProvider(settings.AccessKey, settings.SecretKey, ""),
		Retryer:                    aws.NopRetryer{},
		HTTPClient:                 httpclient.New(settings.Attempt),
		RequestChecksumCalculation: aws.RequestChecksumCalculationWhenRequired,
		ResponseChecksumValidation: aws.ResponseChecksumValidationWhenRequired,
	}
	return &Client{
		settings: settings,
		s3:       s3.New(options),
		limiter:  rate.NewLimiter(rate.Limit(settings.RequestsPerSecond), burst),
	}
}

// Put writes an object.
func (c *Client) Put(ctx context.Context, name string, content []byte) error {
	_, err := retry(ctx, c, func(attempt context.Context) (*s3.PutObjectOutput, error) {
		return c.s3.PutObject(attempt, &s3.PutObjectInput{
			Bucket:        aws.String(c.settings.Bucket),
			Key:           aws.String(name),
			Body:          bytes.NewReader(content),
			ContentLength: aws.Int64(int64(len(content))),
		})
	})
	if err != nil {
		return result.Wrap(err, result.TableUnavailable, "the object store failed at writing %s", name)
	}
	return nil
}

// Get reads an object. It returns ErrNotFound if there is none.
func (c *Client) Get(ctx context.Context, name string) ([]byte, error) {
	content, err := retry(ctx, c, func(attempt context.Context) ([]byte, error) {
		output, err := c.s3.GetObject(attempt, &s3.GetObjectInput{Bucket: aws.String(c.settings.Bucket), Key: aws.String(name)})
		if err != nil {
			return nil, err
		}
		defer output.Body.Close()
		if output.ContentLength == nil {
			return nil, errNoLength
		}
		return io.ReadAll(io.LimitReader(output.Body, maxObjectBytes))
	})
	var missing *types.NoSuchKey
	if errors.As(err, &missing) {
		return nil, ErrNotFound
	}
	if err != nil {
		return nil, result.Wrap(err, result.TableUnavailable, "the object store failed at reading %s", name)
	}
	return content, nil
}

func retry[Output any](ctx context.Context, c *Client, call func(context.Context) (Output, error)) (Output, error) {
	total, cancel := context.WithTimeout(ctx, c.settings.Total)
	defer cancel()
	return backoff.Retry(total, func() (Output, error) {
		var none Output
		if err := c.limiter.Wait(total); err != nil {
			return none, backoff.Permanent(err)
		}
		attempt, cancelAttempt := context.WithTimeout(total, c.settings.Attempt)
		defer cancelAttempt()
		output, err := call(attempt)
		var missing *types.NoSuchKey
		if errors.As(err, &missing) || errors.Is(err, errNoLength) {
			return none, backoff.Permanent(err)
		}
		return output, err
	}, backoff.WithBackOff(backoff.NewExponentialBackOff()))
}
