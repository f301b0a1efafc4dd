/**
 * Network layer: frames over TCP, datagrams over UDP, HTTP servers, and clients of external
 * systems.
 */
package org.cornelchute.net;
