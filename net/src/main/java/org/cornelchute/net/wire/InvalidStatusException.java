package org.cornelchute.net.wire;

import io.netty.handler.codec.DecoderException;

/** The head of a response has a status that no final or interim response may have. */
public final class InvalidStatusException extends DecoderException {

  private static final long serialVersionUID = 1L;

  /**
   * Creates an exception.
   *
   * @param message what is wrong with the status, never null
   */
  InvalidStatusException(String message) {
    super(message);
  }
}
