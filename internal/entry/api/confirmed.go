package api

import (
	"context"
	"net/http"
	"time"
)

// confirmTimeout bounds the wait for control to confirm the configuration. Renewals, which do that, are half a second apart.
const confirmTimeout = time.Second

// findConfirmed looks up an item of the configuration by find, which reports whether it exists. A missing item may have been added
// in the meantime: control is asked after the request has arrived, and find is called again. It returns whether it was found, and
// false for ok if control did not answer and the request was refused.
func (a *API) findConfirmed(c *call, find func() bool) (found, ok bool) {
	if find() {
		return true, true
	}
	ctx, cancel := context.WithTimeout(c.r.Context(), confirmTimeout)
	defer cancel()
	if !a.backend.ConfirmConfig(ctx) {
		a.writeError(c, errorResponse{
			status: http.StatusServiceUnavailable, code: "not_confirmed",
			message: "this entry can't tell whether its configuration is the newest", retryAfter: retryAfterNotReady,
		})
		return false, false
	}
	return find(), true
}
