// Package retry bounds how much retries may add to the load and spaces them out.
package retry
