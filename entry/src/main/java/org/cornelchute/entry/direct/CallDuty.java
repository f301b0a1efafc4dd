package org.cornelchute.entry.direct;

import com.codahale.metrics.Histogram;
import com.codahale.metrics.Meter;
import com.codahale.metrics.MetricRegistry;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.cornelchute.core.log.DecisionLog;
import org.cornelchute.net.wire.WireClient;
import org.cornelchute.net.wire.WireListener;
import org.cornelchute.net.wire.WireRequest;
import org.cornelchute.policy.forward.CallDecider;
import org.cornelchute.policy.forward.CallEffect;
import org.cornelchute.policy.forward.CallSpec;
import org.cornelchute.policy.forward.EndpointSpec;
import org.cornelchute.policy.forward.Rejection;
import org.cornelchute.policy.forward.ResponseHead;
import org.cornelchute.policy.forward.ServingConfig;
import org.cornelchute.policy.forward.StallDetector;
import org.cornelchute.policy.forward.WeightsSwitch;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Carries out what the {@link CallDecider} decides: the duty that owns calls and connections. */
final class CallDuty implements CallerConnection.Listener, ServingViews {

  private static final Logger LOG = LoggerFactory.getLogger(CallDuty.class);
  private static final long SWEEP_MILLIS = 50;
  private static final long CONNECTION_CHECK_MILLIS = 1_000;
  private static final int CONNECT_MILLIS = 250;
  private static final long BEHIND_MILLIS = 20;
  private static final long MAX_IDLE_MILLIS = 1_500;
  private static final int MISDIRECTED = 421;
  private static final String BEARER = "Bearer ";
  private static final double MILLIS_PER_SECOND = 1_000.0;

  private final EventLoop loop;
  private final WireClient client;
  private final CallDecider decider;
  private final CallHeaders headers;
  private final LongSupplier clock;
  private final Optional<LoadSharing> sharing;
  private final Runnable refresh;
  private final Map<Long, LiveCall> calls = new HashMap<>();
  private final Set<CallerConnection> connections = new HashSet<>();
  private final ForwardedHeaders forwarded;
  private final Meter arrived;
  private final Meter answered;
  private final Meter lost;
  private final Histogram latency;
  private final MetricRegistry metrics;
  private final StallDetector stalls = new StallDetector();
  private long numbers;
  private boolean leaving;
  private boolean closingDown;

  CallDuty(
      EventLoop loop,
      WireClient client,
      CallDecider decider,
      CallHeaders headers,
      LongSupplier clock,
      Optional<LoadSharing> sharing,
      Runnable refresh,
      MetricRegistry metrics) {
    this.loop = loop;
    this.client = client;
    this.decider = decider;
    this.headers = headers;
    this.clock = clock;
    this.sharing = sharing;
    this.refresh = refresh;
    this.metrics = metrics;
    this.forwarded = new ForwardedHeaders(headers);
    this.arrived = metrics.meter("calls.arrived");
    this.answered = metrics.meter("calls.answered");
    this.lost = metrics.meter("calls.lost");
    this.latency = metrics.histogram("calls.millis");
  }

  /** Begins the periodic work. */
  void start() {
    loop.scheduleWithFixedDelay(this::sweep, SWEEP_MILLIS, SWEEP_MILLIS, TimeUnit.MILLISECONDS);
    loop.scheduleWithFixedDelay(
        this::checkConnections,
        CONNECTION_CHECK_MILLIS,
        CONNECTION_CHECK_MILLIS,
        TimeUnit.MILLISECONDS);
  }

  // State

  boolean isReady() {
    return decider.isReady() && !leaving && !decider.shouldDivertCalls(clock.getAsLong());
  }

  int size() {
    return calls.size();
  }

  /** Asks callers to use other entries from now on. */
  void leave() {
    leaving = true;
  }

  /** Refuses new calls and closes connections that carry none. */
  void refuseNew() {
    closingDown = true;
    for (CallerConnection c : List.copyOf(connections)) {
      if (c.isIdle()) {
        c.close();
      }
    }
  }

  // Callers

  @Override
  public long now() {
    return clock.getAsLong();
  }

  @Override
  public int maxBodyBytes() {
    return decider.config().limits().maxBodyBytes();
  }

  @Override
  public boolean accepting() {
    return !leaving;
  }

  @Override
  public void opened(CallerConnection c) {
    connections.add(c);
  }

  @Override
  public void closed(CallerConnection c) {
    connections.remove(c);
  }

  @Override
  public void malformed(int status) {
    metrics.meter("calls.malformed." + status).mark();
  }

  @Override
  public void request(CallerConnection c, FullHttpRequest request) {
    arrived.mark();
    HttpHeaders h = request.headers();
    long now = clock.getAsLong();
    LiveCall call =
        new LiveCall(++numbers, c, request, number(h.get(headers.lastEvent()), -1), now);
    calls.put(call.number, call);
    c.carry(call);
    if (closingDown) {
      reject(call, Rejection.NOT_READY, 0);
      return;
    }
    look(now);
    if (stalls.isProcessingBacklog(now)) {
      // Its caller may have left while the process stood still: that is read in the next turns.
      loop.schedule(() -> arrive(call), BEHIND_MILLIS, TimeUnit.MILLISECONDS);
    } else {
      arrive(call);
    }
  }

  private void arrive(LiveCall call) {
    if (calls.containsKey(call.number)) {
      apply(decider.onCall(clock.getAsLong(), describe(call)));
    }
  }

  private void look(long now) {
    long wall = System.currentTimeMillis();
    stalls.observe(now, wall);
    if (decider.detectSuspension(now, wall)) {
      LOG.warn("suspended, beliefs are confirmed anew");
      refresh.run();
    }
  }

  @Override
  public void gone(LiveCall call) {
    lost.mark();
    apply(decider.onCallerDisconnect(clock.getAsLong(), call.number));
    forget(call);
  }

  // Views

  @Override
  public void configured(ServingConfig config) {
    decider.updateConfig(config);
  }

  @Override
  public void evacuated(Set<String> domains) {
    decider.updateEvacuatedDomains(domains);
  }

  @Override
  public void versionNamed(String model, long version, long ageMillis) {
    long now = clock.getAsLong();
    if (ageMillis == UNKNOWN_AGE) {
      decider.recordVersionOfUnknownAge(now, model, version);
    } else {
      decider.recordVersion(now - ageMillis, model, version);
    }
  }

  @Override
  public void confirmed(long asked) {
    look(clock.getAsLong());
    decider.recordConfirmation(asked);
  }

  @Override
  public void listed(Collection<EndpointSpec> endpoints) {
    decider.updateEndpoints(clock.getAsLong(), endpoints);
  }

  @Override
  public void listRegained() {
    decider.onDirectoryRecovered(clock.getAsLong());
  }

  @Override
  public void changing(Map<String, WeightsSwitch> changeByHost) {
    decider.updateWeightsSwitches(clock.getAsLong(), changeByHost);
  }

  @Override
  public void entries(Map<String, String> addressByName) {
    decider.updateEntries(addressByName.keySet());
    sharing.ifPresent(s -> s.peers(addressByName));
  }

  // Effects

  private void apply(List<CallEffect> effects) {
    for (CallEffect e : effects) {
      if (e instanceof CallEffect.Log l) {
        DecisionLog.write(l.decision());
      } else if (e instanceof CallEffect.Dispatch d) {
        dispatch(d);
      } else if (e instanceof CallEffect.CancelAttempt a) {
        abort(a);
      } else if (e instanceof CallEffect.StartStream s) {
        pass(s);
      } else if (e instanceof CallEffect.Complete d) {
        deliver(d);
      } else if (e instanceof CallEffect.Reject r) {
        LiveCall call = calls.get(r.call());
        if (call != null) {
          reject(call, r.rejection(), r.retryAfterMillis());
        }
      } else if (e instanceof CallEffect.AbortResponse c) {
        cut(c);
      }
    }
  }

  private void dispatch(CallEffect.Dispatch d) {
    LiveCall call = calls.get(d.call());
    if (call == null) {
      return;
    }
    call.restart(d.attempt());
    FullHttpRequest q =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            call.request.method(),
            call.request.uri(),
            call.request.content().retainedDuplicate(),
            DefaultHttpHeadersFactory.headersFactory().newHeaders(),
            EmptyHttpHeaders.INSTANCE);
    HttpHeaders to = q.headers();
    forwarded.request(call.request.headers(), to, decider.config().requiresKeys());
    to.set(headers.deadline(), Long.toString(d.remainingMillis()));
    to.set(headers.expectedInstance(), d.endpoint().id());
    if (!d.workspace().isEmpty()) {
      to.set(headers.workspace(), d.workspace());
    }
    if (d.priority() >= 0) {
      to.set(headers.priority(), Integer.toString(Math.min(9, d.priority())));
    }
    if (d.expectedVersion() > 0) {
      to.set(headers.expectedVersion(), Long.toString(d.expectedVersion()));
    }
    if (d.resumeAfterEventId() >= 0) {
      to.set(headers.lastEvent(), Long.toString(d.resumeAfterEventId()));
    }
    if (q.content().isReadable() || HttpUtil.isContentLengthSet(call.request)) {
      HttpUtil.setContentLength(q, q.content().readableBytes());
    }
    WireRequest wire =
        new WireRequest(
            d.endpoint().address(),
            q,
            headers.requestId(),
            d.maxConnections(),
            CONNECT_MILLIS,
            MAX_IDLE_MILLIS);
    // The loop runs the outcome of a send that fails at once after the effects at hand.
    call.exchange = client.send(wire, new Answer(call, d.attempt()));
  }

  private void abort(CallEffect.CancelAttempt a) {
    LiveCall call = calls.get(a.call());
    if (call != null && call.attempt == a.attempt() && call.exchange != null) {
      call.exchange.cancel();
      call.exchange = null;
    }
  }

  private void pass(CallEffect.StartStream s) {
    LiveCall call = calls.get(s.call());
    if (call == null) {
      return;
    }
    call.passing = true;
    if (!call.begun) {
      call.begun = true;
      HttpResponse r = new DefaultHttpResponse(HttpVersion.HTTP_1_1, call.head.status());
      forwarded.answer(call.head.headers(), r.headers());
      call.caller.begin(r);
      call.caller.flush();
    }
  }

  private void deliver(CallEffect.Complete d) {
    LiveCall call = calls.get(d.call());
    if (call == null) {
      return;
    }
    answered.mark();
    latency.update(clock.getAsLong() - call.arrived);
    call.exchange = null;
    if (call.begun) {
      forget(call);
      call.caller.end();
      return;
    }
    FullHttpResponse r =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1, call.head.status(), call.body.retainedDuplicate());
    forwarded.answer(call.head.headers(), r.headers());
    forget(call);
    call.caller.answer(r);
  }

  private void reject(LiveCall call, Rejection rejection, long retryAfterMillis) {
    metrics.meter("calls.rejected." + rejection.name().toLowerCase(Locale.ROOT)).mark();
    HttpResponseStatus status =
        switch (rejection) {
          case UNKNOWN_ROUTE -> HttpResponseStatus.NOT_FOUND;
          case UNKNOWN_KEY -> HttpResponseStatus.UNAUTHORIZED;
          case NOT_READY, OVERLOADED, NO_ENDPOINT, EXPIRED_UNSENT ->
              HttpResponseStatus.SERVICE_UNAVAILABLE;
          case EXPIRED_SENT -> HttpResponseStatus.GATEWAY_TIMEOUT;
          case ANSWER_LOST -> HttpResponseStatus.BAD_GATEWAY;
        };
    FullHttpResponse r =
        new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.EMPTY_BUFFER);
    String id = call.request.headers().get(headers.requestId());
    if (id != null) {
      r.headers().set(headers.requestId(), id);
    }
    if (status == HttpResponseStatus.SERVICE_UNAVAILABLE) {
      r.headers()
          .set(
              HttpHeaderNames.RETRY_AFTER,
              String.format(Locale.ROOT, "%.2f", retryAfterMillis / MILLIS_PER_SECOND));
    }
    forget(call);
    call.caller.answer(r);
  }

  private void cut(CallEffect.AbortResponse c) {
    LiveCall call = calls.get(c.call());
    if (call != null) {
      lost.mark();
      if (call.exchange != null) {
        call.exchange.cancel();
      }
      forget(call);
      call.caller.cut();
    }
  }

  // Helpers

  private CallSpec describe(LiveCall call) {
    HttpHeaders h = call.request.headers();
    String uri = call.request.uri();
    int query = uri.indexOf('?');
    String host = h.get(HttpHeaderNames.HOST, "").toLowerCase(Locale.ROOT);
    int port = host.indexOf(':');
    String bearer = h.get(HttpHeaderNames.AUTHORIZATION, "");
    String tokens = h.get(headers.tokenCounts(), "");
    int comma = tokens.indexOf(',');
    return new CallSpec(
        call.number,
        h.get(headers.requestId(), ""),
        port < 0 ? host : host.substring(0, port),
        query < 0 ? uri : uri.substring(0, query),
        bearer.startsWith(BEARER) ? bearer.substring(BEARER.length()).strip() : "",
        number(h.get(headers.deadline()), Integer.MAX_VALUE),
        comma < 0 ? 0 : number(tokens.substring(0, comma), 0),
        comma < 0 ? 0 : number(tokens.substring(comma + 1), 0),
        number(h.get(headers.lengthHint()), 0),
        call.events.lastEventId());
  }

  private void forget(LiveCall call) {
    if (calls.remove(call.number) != null) {
      call.release();
    }
  }

  private void sweep() {
    look(clock.getAsLong());
    if (decider.openCallCount() > 0) {
      apply(decider.sweep(clock.getAsLong()));
    }
  }

  private void checkConnections() {
    long now = clock.getAsLong();
    ServingConfig.CallerLimits limits = decider.config().limits();
    for (CallerConnection c : List.copyOf(connections)) {
      c.checkTime(now, limits.headerTimeoutMillis(), limits.idleTimeoutMillis());
    }
  }

  private static long number(String text, long otherwise) {
    if (text == null || text.isEmpty()) {
      return otherwise;
    }
    try {
      return Math.max(0, Long.parseLong(text.strip()));
    } catch (NumberFormatException e) {
      return otherwise;
    }
  }

  /** Takes the answer of one attempt. */
  private final class Answer implements WireListener {

    private final LiveCall call;
    private final int attempt;

    Answer(LiveCall call, int attempt) {
      this.call = call;
      this.attempt = attempt;
    }

    @Override
    public void head(HttpResponse head) {
      call.head = head;
      HttpHeaders h = head.headers();
      String load = h.get(headers.load(), "");
      String[] parts = load.split(",");
      boolean told = parts.length >= 2;
      ResponseHead answer =
          new ResponseHead(
              head.status().code(),
              h.contains(headers.notRun()),
              head.status().code() == MISDIRECTED,
              h.contains(headers.signature()),
              number(h.get(headers.version()), 0),
              told ? (int) number(parts[0], 0) : -1,
              told ? (int) number(parts[1], 0) : 0);
      apply(decider.onResponseHead(clock.getAsLong(), call.number, attempt, answer));
    }

    @Override
    public void content(ByteBuf bytes) {
      if (call.attempt != attempt || !calls.containsKey(call.number)) {
        return;
      }
      if (!call.passing) {
        if (call.body == Unpooled.EMPTY_BUFFER) {
          call.body = Unpooled.buffer(bytes.readableBytes());
        }
        call.body.writeBytes(bytes);
        return;
      }
      byte[] raw = new byte[bytes.readableBytes()];
      bytes.readBytes(raw);
      List<byte[]> events = call.events.decode(raw);
      for (byte[] e : events) {
        call.caller.part(e);
      }
      if (!events.isEmpty()) {
        call.caller.flush();
        decider.onResponseProgress(
            clock.getAsLong(), call.number, attempt, call.events.lastEventId());
      }
    }

    @Override
    public void end() {
      if (call.attempt != attempt || !calls.containsKey(call.number)) {
        return;
      }
      long now = clock.getAsLong();
      if (call.passing && call.events.hasPartialEvent()) {
        apply(
            decider.onAttemptFailure(
                now, call.number, attempt, true, "stream ended inside an event"));
      } else {
        apply(decider.onResponseEnd(now, call.number, attempt));
      }
    }

    @Override
    public void failed(boolean sent, String reason) {
      loop.execute(
          () ->
              apply(
                  decider.onAttemptFailure(clock.getAsLong(), call.number, attempt, sent, reason)));
    }
  }
}
