package org.cornelchute.core.message;

/** Message between processes of the system, sent as one frame or one datagram. */
public sealed interface Message permits ServingMessage, SwarmMessage, ControlMessage {}
