// Package zinniafront is the root of a load balancer for flows and HTTP requests.
// It holds the interfaces of all behaviour that varies and the value types that
// they exchange. Decisions live below core; encodings, sockets and files live
// below io.
//
// There are two kinds of entry instance. Those of zfinstance exchange members,
// backend servers and slot tables among themselves (zfmember, zfserver, zfslot)
// and also schedule requests (zfrequest). Those of zfforward fetch routes and
// backend servers from control instances (zfcontroller, zfregistry) and route
// packets by their cookies (zfcookie).
package zinniafront
