package org.cornelchute.core.message;

/** Any message between processes of the system; carried as one frame or one datagram. */
public sealed interface Message permits ServingMessage, SwarmMessage, ControlMessage {}
