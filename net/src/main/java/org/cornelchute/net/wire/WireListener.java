package org.cornelchute.net.wire;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/**
 * Receives the response of one exchange, on the event loop.
 *
 * <p>Exactly one call of {@link #onEnd} or {@link #onFailure} ends the exchange, unless it is
 * canceled.
 */
public interface WireListener {

  /** Handles the status line and the headers. */
  void onHead(HttpResponse head);

  /** Handles a part of the body; the buffer is valid only during the call. */
  void onContent(ByteBuf bytes);

  /** Handles the end of a complete response. */
  void onEnd();

  /**
   * Handles the end of an exchange without a complete response.
   *
   * @param possiblySent whether any byte of the request may have been sent
   * @param reason cause of the failure, never null
   */
  void onFailure(boolean possiblySent, String reason);
}
