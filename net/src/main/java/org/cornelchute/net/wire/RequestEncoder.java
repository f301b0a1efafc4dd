package org.cornelchute.net.wire;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.util.CharsetUtil;

/**
 * Encodes requests. The target of a request that came from a caller holds one char a byte, as the
 * decoder of requests makes it, and is sent as the same bytes.
 */
final class RequestEncoder extends HttpRequestEncoder {

  @Override
  protected void encodeInitialLine(ByteBuf buffer, HttpRequest request) throws Exception {
    if (request.uri().chars().allMatch(c -> c < 0x80)) {
      super.encodeInitialLine(buffer, request);
      return;
    }
    String line = request.method() + " " + request.uri() + " " + request.protocolVersion() + "\r\n";
    buffer.writeCharSequence(line, CharsetUtil.ISO_8859_1);
  }
}
