/**
 * Frames, datagrams, HTTP and the clients of outside systems; the only module that opens sockets.
 */
package org.cornelchute.net;
