package org.cornelchute.net.http;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.HttpServerCodec;
import org.cornelchute.core.kernel.Service;
import org.cornelchute.net.wire.Listening;

/** Shows operators the metrics of a process as text. */
public final class StatusServer implements Service {

  private final EventLoopGroup group;
  private final String address;
  private final MetricRegistry metrics;

  /** Creates a server that listens on {@code address} once started. */
  public StatusServer(EventLoopGroup group, String address, MetricRegistry metrics) {
    this.group = group;
    this.address = address;
    this.metrics = metrics;
  }

  @Override
  public void start() {
    Listening.open(
        group,
        address,
        c ->
            c.pipeline()
                .addLast(new HttpServerCodec(), new StatusPage(() -> StatusPage.render(metrics))));
  }

  @Override
  public void close() {}
}
