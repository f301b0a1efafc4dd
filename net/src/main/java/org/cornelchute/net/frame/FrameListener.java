package org.cornelchute.net.frame;

import org.cornelchute.core.message.Message;

/**
 * Receives the messages of a {@link FrameServer}. Called on event loop threads; implementations
 * must not block.
 */
public interface FrameListener {

  /**
   * Called for each message.
   *
   * @param connection number of the connection, unique within the process
   * @param from member id that the peer sent when the connection opened, or empty if it sent none
   * @param message decoded message
   */
  void onMessage(long connection, String from, Message message);

  /** Called when a connection ends. */
  void onConnectionClosed(long connection, String from);
}
