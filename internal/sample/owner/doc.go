// Package owner is a sample upstream: it announces itself, holds fenced grants, and answers with its name and fence. It
// keeps a journal of what it ran, by which promises are checked.
package owner
