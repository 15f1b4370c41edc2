// Package lavassert provides the assertion functions that all tests share.
package lavassert
