package org.cornelchute.net.wire;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/** Reports the number of received bytes to a connection, after the decoder has handled them. */
final class ReceivedBytesHandler extends ChannelInboundHandlerAdapter {

  private final WireConnection connection;

  ReceivedBytesHandler(WireConnection connection) {
    this.connection = connection;
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    int size = ((ByteBuf) message).readableBytes();
    ctx.fireChannelRead(message);
    connection.onBytesReceived(size);
  }
}
