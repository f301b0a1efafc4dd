package org.cornelchute.net.wire;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/** Receives the answer of one exchange, on the event loop; exactly one of the last two ends it. */
public interface WireListener {

  /** Handles the beginning of the answer. */
  void onHead(HttpResponse head);

  /** Handles a part of the body; the buffer is the caller's only during the call. */
  void onContent(ByteBuf bytes);

  /** Handles the whole end of the answer. */
  void onEnd();

  /**
   * Handles the end of an exchange without a whole answer.
   *
   * @param sent whether any byte of the request may have left
   * @param reason why, never null
   */
  void onFailure(boolean sent, String reason);
}
