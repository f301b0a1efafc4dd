package org.cornelchute.net.wire;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetSocketAddress;
import java.util.function.Consumer;

/** Opens listening sockets. */
public final class ServerSockets {

  private static final int BACKLOG = 1_024;

  private ServerSockets() {}

  /**
   * Listens on an address; returns once the socket is open.
   *
   * @param group event loops that accept and serve the connections
   * @param address address as {@code ip:port}
   * @param initializer initializes the channel of each accepted connection
   * @return the listening socket
   */
  public static Channel listen(
      EventLoopGroup group, String address, Consumer<Channel> initializer) {
    int colon = address.lastIndexOf(':');
    return new ServerBootstrap()
        .group(group)
        .channel(NioServerSocketChannel.class)
        .option(ChannelOption.SO_BACKLOG, BACKLOG)
        .option(ChannelOption.SO_REUSEADDR, true)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childHandler(
            new ChannelInitializer<Channel>() {
              @Override
              protected void initChannel(Channel channel) {
                initializer.accept(channel);
              }
            })
        .bind(
            new InetSocketAddress(
                address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))))
        .syncUninterruptibly()
        .channel();
  }
}
