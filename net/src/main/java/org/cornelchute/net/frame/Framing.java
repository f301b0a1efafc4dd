package org.cornelchute.net.frame;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import reactor.netty.Connection;

/** Length-prefixed frames on a connection. */
final class Framing {

  /** Largest frame; a chunk and its envelope fit. */
  static final int MAX_FRAME_BYTES = (1 << 26) + 4_096;

  /** Bytes that may wait to be written on one connection before it is given up. */
  static final int MAX_PENDING_BYTES = 1 << 27;

  private static final int LENGTH_BYTES = 4;

  private Framing() {}

  /** Cuts the connection's input into frames without their length. */
  static void install(Connection connection) {
    connection.addHandlerLast(
        "frames",
        new LengthFieldBasedFrameDecoder(MAX_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES));
  }

  /** Writes one frame; a connection whose reader has stopped is closed. */
  static void write(Channel channel, byte[] frame) {
    ByteBuf buffer = channel.alloc().buffer(LENGTH_BYTES + frame.length);
    buffer.writeInt(frame.length);
    buffer.writeBytes(frame);
    if (channel.unsafe().outboundBuffer() != null
        && channel.unsafe().outboundBuffer().totalPendingWriteBytes() > MAX_PENDING_BYTES) {
      buffer.release();
      channel.close();
      return;
    }
    channel.writeAndFlush(buffer, channel.voidPromise());
  }
}
