// Package admit keeps an upstream within its announced limits: requests wait in order of class, fairly among callers,
// and one that cannot be answered in time is turned away at once.
package admit
