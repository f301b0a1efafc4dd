package org.cornelchute.net.http;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.HttpServerCodec;
import org.cornelchute.core.kernel.Service;
import org.cornelchute.net.wire.ServerSockets;

/** Serves the metrics of a process to operators as text. */
public final class MetricsServer implements Service {

  private final EventLoopGroup eventLoopGroup;
  private final String address;
  private final MetricRegistry metrics;

  /** Creates a server that listens on {@code address} once started. */
  public MetricsServer(EventLoopGroup eventLoopGroup, String address, MetricRegistry metrics) {
    this.eventLoopGroup = eventLoopGroup;
    this.address = address;
    this.metrics = metrics;
  }

  @Override
  public void start() {
    ServerSockets.listen(
        eventLoopGroup,
        address,
        c ->
            c.pipeline()
                .addLast(
                    new HttpServerCodec(),
                    new TextPageHandler(() -> TextPageHandler.renderMetrics(metrics))));
  }

  @Override
  public void close() {}
}
