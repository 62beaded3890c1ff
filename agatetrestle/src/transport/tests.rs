//! Tests of the HTTP server and client against sockets that misbehave.
