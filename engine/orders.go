package engine

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"papayastair.dev/papayastair/wire"
)

// Report reads an engine's load report.
func (c *Client) Report(ctx context.Context, address string) (wire.LoadReport, error) {
	var report wire.LoadReport
	err := c.call(ctx, "report", fasthttp.MethodGet, address, "/v1/load", nil, &report)

	return report, err
}

// CacheEvents reads the cache events after a sequence. A first event with a
// later sequence than the next one means that events were lost.
func (c *Client) CacheEvents(ctx context.Context, address string, after int) ([]wire.CacheEvent, error) {
	var events []wire.CacheEvent
	err := c.call(ctx, "cache events", fasthttp.MethodGet, address, "/v1/cache-events?after="+strconv.Itoa(after), nil, &events)

	return events, err
}

// Send gives an order. An error with OutcomeUnknown means that the order may
// be carried out at any time.
func (c *Client) Send(ctx context.Context, address string, order wire.Order) (wire.OrderResult, error) {
	var result wire.OrderResult
	body, err := json.Marshal(order)
	if err != nil {
		return result, err
	}
	err = c.call(ctx, "order", fasthttp.MethodPost, address, "/v1/orders", body, &result)

	return result, err
}

func (c *Client) call(ctx context.Context, op, method, address, path string, body []byte, result any) error {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	req.SetRequestURI("http://" + address + path)
	req.Header.SetMethod(method)
	req.SetBodyRaw(body)
	timeout := _callTimeout
	if deadline, ok := ctx.Deadline(); ok {
		timeout = min(timeout, time.Until(deadline))
	}
	if err := c.calls.DoTimeout(req, resp, timeout); err != nil {
		fasthttp.ReleaseResponse(resp)

		return &Error{
			Op:          op,
			Address:     address,
			Outcome:     outcomeOfSend(err),
			Unreachable: isUnreachable(err),
			Reason:      err.Error(),
		}
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return refusal(op, address, resp)
	}
	defer fasthttp.ReleaseResponse(resp)
	if err := json.Unmarshal(resp.Body(), result); err != nil {
		return &Error{
			Op:      op,
			Address: address,
			Outcome: OutcomeUnknown,
			Status:  resp.StatusCode(),
			Reason:  err.Error(),
		}
	}

	return nil
}
