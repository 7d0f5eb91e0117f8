// Package oper defines the remote procedures that daemons and operators call at control hosts, with their messages and errors.
package oper
