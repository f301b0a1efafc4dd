package org.cornelchute.net.wire;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpMessage;

/** Decodes the responses on a connection and reports all received bytes to it. */
final class ResponseDecoder extends CheckedResponseDecoder {

  private static final int MAX_INITIAL_LINE_BYTES = 8_192;
  private static final int MAX_HEADER_BYTES = 32_768;
  private static final int MAX_CHUNK_BYTES = 16_384;

  private final WireConnection connection;

  ResponseDecoder(WireConnection connection) {
    super(MAX_INITIAL_LINE_BYTES, MAX_HEADER_BYTES, MAX_CHUNK_BYTES);
    this.connection = connection;
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) throws Exception {
    int size = ((ByteBuf) message).readableBytes();
    boolean solicited = connection.hasExchange();
    super.channelRead(ctx, message);
    connection.onBytesReceived(size, solicited);
  }

  /** Returns whether bytes follow the last decoded part of a response. */
  boolean hasUndecodedBytes() {
    return actualReadableBytes() > 0;
  }

  @Override
  protected boolean isContentAlwaysEmpty(HttpMessage message) {
    return super.isContentAlwaysEmpty(message) || connection.isHeadRequest();
  }
}
