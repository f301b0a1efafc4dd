package org.cornelchute.net.wire;

import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpResponseStatus;

/**
 * Decoder of responses that accepts only statuses of three digits from 100 to 599.
 *
 * <p>The decoder that it extends accepts any number, also with a sign or leading zeros, so that
 * status 000 or {@code +200} would count as a response. A head with another status is decoded as a
 * message whose result is a failure, and the rest of the connection is not decoded. Status 101 is
 * invalid too, since no client asks for another protocol.
 */
public class CheckedResponseDecoder extends HttpResponseDecoder {

  private static final int STATUS_DIGITS = 3;
  private static final int MIN_STATUS = 100;
  private static final int MAX_STATUS = 599;

  /** Creates a decoder with limits in bytes. */
  protected CheckedResponseDecoder(int maxInitialLineBytes, int maxHeaderBytes, int maxChunkBytes) {
    super(maxInitialLineBytes, maxHeaderBytes, maxChunkBytes);
  }

  @Override
  protected HttpMessage createMessage(String[] initialLine) {
    checkStatus(initialLine[1]);
    return super.createMessage(initialLine);
  }

  private static void checkStatus(String text) {
    if (text.length() != STATUS_DIGITS || !text.chars().allMatch(c -> c >= '0' && c <= '9')) {
      throw new InvalidStatusException("status is not three digits");
    }
    int status = Integer.parseInt(text);
    if (status < MIN_STATUS || status > MAX_STATUS) {
      throw new InvalidStatusException("status " + text + " is not between 100 and 599");
    }
    if (status == HttpResponseStatus.SWITCHING_PROTOCOLS.code()) {
      throw new InvalidStatusException("response switches to another protocol");
    }
  }
}
