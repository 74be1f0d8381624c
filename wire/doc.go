// Package wire holds the types of settings, of objects in the platform's
// store and of messages between processes. All of them are generated from
// the JSON Schemas in ../schema; field names in JSON are those of the Go
// fields. Run go generate ./wire after a change of a schema.
package wire

//go:generate sh generate.sh
