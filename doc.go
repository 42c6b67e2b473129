// Package zinniafront is the root of a layer-4 load balancer. It holds the
// interfaces of all behaviour that varies and the value types that they
// exchange. Decisions live below core, encodings, sockets and files below io.
package zinniafront
