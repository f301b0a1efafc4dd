package org.cornelchute.net.frame;

import org.cornelchute.core.message.Message;

/** Receives what comes in on frame connections; called on network threads, must not block. */
public interface FrameListener {

  /**
   * Handles a message.
   *
   * @param connection number of the connection, unique within the process
   * @param from member id that the peer gave in its greeting, or empty
   * @param message the message
   */
  void onMessage(long connection, String from, Message message);

  /** Handles the end of a connection. */
  void onConnectionClosed(long connection, String from);
}
