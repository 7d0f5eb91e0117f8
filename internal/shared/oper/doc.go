// Package oper holds the calls that daemons and operators make to control hosts.
package oper
