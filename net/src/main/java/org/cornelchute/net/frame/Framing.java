package org.cornelchute.net.frame;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import reactor.netty.Connection;

/** Reads and writes length-prefixed frames. */
final class Framing {

  /** Maximum frame size, enough for the largest chunk and its message fields. */
  static final int MAX_FRAME_BYTES = (1 << 26) + 4_096;

  /** Maximum number of unwritten bytes on a connection. Above it, the connection is closed. */
  static final int MAX_PENDING_BYTES = 1 << 27;

  private static final int LENGTH_BYTES = 4;

  private Framing() {}

  /** Makes a connection split its input into frames and remove their length prefixes. */
  static void install(Connection connection) {
    connection.addHandlerLast(
        "frames",
        new LengthFieldBasedFrameDecoder(MAX_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES));
  }

  /**
   * Writes a frame. Closes the connection instead if its peer has stopped reading, so that more
   * than {@link #MAX_PENDING_BYTES} are unwritten.
   */
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
