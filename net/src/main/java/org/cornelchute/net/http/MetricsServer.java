package org.cornelchute.net.http;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.HttpServerCodec;
import java.util.Map;
import org.cornelchute.core.kernel.Service;
import org.cornelchute.net.wire.ServerSockets;

/** Serves the metrics of a process to operators as text, and other pages by path. */
public final class MetricsServer implements Service {

  private final EventLoopGroup eventLoopGroup;
  private final String address;
  private final MetricRegistry metrics;
  private final Map<String, OperatorPage> pageByPath;

  /** Creates a server that listens on {@code address} once started. */
  public MetricsServer(EventLoopGroup eventLoopGroup, String address, MetricRegistry metrics) {
    this(eventLoopGroup, address, metrics, Map.of());
  }

  /**
   * Creates a server with other pages.
   *
   * @param pageByPath pages by path; they run on the event loops of the group
   */
  public MetricsServer(
      EventLoopGroup eventLoopGroup,
      String address,
      MetricRegistry metrics,
      Map<String, OperatorPage> pageByPath) {
    this.eventLoopGroup = eventLoopGroup;
    this.address = address;
    this.metrics = metrics;
    this.pageByPath = Map.copyOf(pageByPath);
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
                    new TextPageHandler(() -> TextPageHandler.renderMetrics(metrics), pageByPath)));
  }

  @Override
  public void close() {}
}
