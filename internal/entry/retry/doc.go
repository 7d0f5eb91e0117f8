// Package retry provides retry budgets, back-off between retries, and contexts that bound the time of an attempt.
package retry
