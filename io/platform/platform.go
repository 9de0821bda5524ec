// Package platform is an HTTP client of the platform's transactional table and
// object store.
package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"coltsfootward"
)

// The paths of the platform's HTTP interface.
const (
	PathRead     = "/table/read"
	PathScan     = "/table/scan"
	PathTransact = "/table/transact"
	PathObjects  = "/objects/"
)

// maximumResponseBytes is the maximum size of a response in bytes.
const maximumResponseBytes = 64 << 20

// idleConnections is the maximum number of idle connections to the platform.
const idleConnections = 4

// ReadRequest is the body of a request for one row.
type ReadRequest struct {
	Key string `json:"key"`
}

// ScanRequest is the body of a request for rows in key order. Its fields are the
// parameters of coltsfootward.Table.Scan.
type ScanRequest struct {
	Prefix string `json:"prefix"`
	After  string `json:"after"`
	Limit  int    `json:"limit"`
}

// RowsResponse is the body of the response to a read or a scan.
type RowsResponse struct {
	Rows []coltsfootward.Row `json:"rows"`
}

// Client implements coltsfootward.Table and coltsfootward.Objects. Create it
// with New. It is safe for concurrent use.
type Client struct {
	base string
	http *http.Client
}

// New returns a client of the platform at the base URL, such as
// http://10.0.0.1:7000.
func New(base string) *Client {
	transport := &http.Transport{MaxIdleConnsPerHost: idleConnections, IdleConnTimeout: 90 * time.Second}
	return &Client{base: base, http: &http.Client{Transport: transport}}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Read implements coltsfootward.Table.
func (c *Client) Read(ctx context.Context, key string) (coltsfootward.Row, error) {
	var response RowsResponse
	if err := c.post(ctx, PathRead, ReadRequest{Key: key}, &response); err != nil {
		return coltsfootward.Row{}, err
	}
	if len(response.Rows) != 1 {
		return coltsfootward.Row{}, fmt.Errorf("%w: response to a read of one row has %d rows", coltsfootward.ErrUnavailable, len(response.Rows))
	}
	return response.Rows[0], nil
}

// Scan implements coltsfootward.Table.
func (c *Client) Scan(ctx context.Context, prefix, after string, limit int) ([]coltsfootward.Row, error) {
	var response RowsResponse
	err := c.post(ctx, PathScan, ScanRequest{Prefix: prefix, After: after, Limit: limit}, &response)
	return response.Rows, err
}

// Transact implements coltsfootward.Table.
func (c *Client) Transact(ctx context.Context, t coltsfootward.Transaction) error {
	return c.post(ctx, PathTransact, t, nil)
}

// Get implements coltsfootward.Objects.
func (c *Client) Get(ctx context.Context, name string) ([]byte, error) {
	return c.do(ctx, http.MethodGet, PathObjects+url.PathEscape(name), nil)
}

// Put implements coltsfootward.Objects.
func (c *Client) Put(ctx context.Context, name string, data []byte) error {
	_, err := c.do(ctx, http.MethodPut, PathObjects+url.PathEscape(name), data)
	return err
}

func (c *Client) post(ctx context.Context, path string, request, response any) error {
	data, err := json.Marshal(request)
	if err != nil {
		return fmt.Errorf("platform: encode request: %w", err)
	}
	body, err := c.do(ctx, http.MethodPost, path, data)
	if err != nil || response == nil {
		return err
	}
	if err := json.Unmarshal(body, response); err != nil {
		return fmt.Errorf("%w: undecodable response: %v", coltsfootward.ErrUnavailable, err)
	}
	return nil
}

// do sends one request and converts the status of the response to an error.
func (c *Client) do(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	status, data, err := Exchange(ctx, c.http, method, c.base+path, body)
	if err != nil {
		return nil, err
	}
	switch status {
	case http.StatusOK, http.StatusNoContent:
		return data, nil
	case http.StatusConflict:
		return nil, coltsfootward.ErrConflict
	case http.StatusNotFound:
		return nil, coltsfootward.ErrNotFound
	default:
		return nil, fmt.Errorf("%w: status %d", coltsfootward.ErrUnavailable, status)
	}
}

// Exchange sends one request to a platform and returns the status and the full body of
// the response. If there is no complete response, the error is
// coltsfootward.ErrUnavailable, since the operation may have taken effect.
func Exchange(ctx context.Context, client *http.Client, method, address string, body []byte) (int, []byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, address, bytes.NewReader(body))
	if err != nil {
		return 0, nil, fmt.Errorf("platform: build request: %w", err)
	}
	// Without GetBody, net/http does not resend the body of a failed request. A write
	// must not be sent twice unless the caller decides so.
	request.GetBody = nil
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := client.Do(request)
	if err != nil {
		return 0, nil, fmt.Errorf("%w: %w", coltsfootward.ErrUnavailable, err)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maximumResponseBytes))
	if err != nil {
		return 0, nil, fmt.Errorf("%w: %w", coltsfootward.ErrUnavailable, err)
	}
	return response.StatusCode, data, nil
}
