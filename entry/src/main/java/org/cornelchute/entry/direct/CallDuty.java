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
final class CallDuty implements CallerConnection.Listener, ServingStateListener {

  private static final Logger LOG = LoggerFactory.getLogger(CallDuty.class);
  private static final long SWEEP_INTERVAL_MILLIS = 50;
  private static final long CONNECTION_CHECK_INTERVAL_MILLIS = 1_000;
  private static final int CONNECT_TIMEOUT_MILLIS = 250;
  private static final long BACKLOG_DELAY_MILLIS = 20;
  private static final long MAX_CONNECTION_IDLE_MILLIS = 1_500;
  private static final int STATUS_MISDIRECTED_REQUEST = 421;
  private static final String BEARER_PREFIX = "Bearer ";
  private static final double MILLIS_PER_SECOND = 1_000.0;

  private final EventLoop loop;
  private final WireClient client;
  private final CallDecider decider;
  private final CallHeaderNames headerNames;
  private final LongSupplier clockMillis;
  private final Optional<OpenCallsReporter> openCallsReporter;
  private final Runnable stateRefresher;
  private final Map<Long, OpenCall> openCalls = new HashMap<>();
  private final Set<CallerConnection> connections = new HashSet<>();
  private final HeaderCopier headerCopier;
  private final Meter arrivedMeter;
  private final Meter answeredMeter;
  private final Meter lostMeter;
  private final Histogram latencyHistogram;
  private final MetricRegistry metrics;
  private final StallDetector stallDetector = new StallDetector();
  private long lastCallNumber;
  private boolean draining;
  private boolean rejectingNewCalls;

  CallDuty(
      EventLoop loop,
      WireClient client,
      CallDecider decider,
      CallHeaderNames headers,
      LongSupplier clock,
      Optional<OpenCallsReporter> sharing,
      Runnable refresh,
      MetricRegistry metrics) {
    this.loop = loop;
    this.client = client;
    this.decider = decider;
    this.headerNames = headers;
    this.clockMillis = clock;
    this.openCallsReporter = sharing;
    this.stateRefresher = refresh;
    this.metrics = metrics;
    this.headerCopier = new HeaderCopier(headers);
    this.arrivedMeter = metrics.meter("calls.arrived");
    this.answeredMeter = metrics.meter("calls.answered");
    this.lostMeter = metrics.meter("calls.lost");
    this.latencyHistogram = metrics.histogram("calls.millis");
  }

  /** Begins the periodic work. */
  void start() {
    loop.scheduleWithFixedDelay(
        this::sweep, SWEEP_INTERVAL_MILLIS, SWEEP_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    loop.scheduleWithFixedDelay(
        this::closeTimedOutConnections,
        CONNECTION_CHECK_INTERVAL_MILLIS,
        CONNECTION_CHECK_INTERVAL_MILLIS,
        TimeUnit.MILLISECONDS);
  }

  // State

  boolean isReady() {
    return decider.isReady() && !draining && !decider.shouldDivertCalls(clockMillis.getAsLong());
  }

  int openCallCount() {
    return openCalls.size();
  }

  /** Asks callers to use other entries from now on. */
  void startDraining() {
    draining = true;
  }

  /** Refuses new calls and closes connections that carry none. */
  void rejectNewCalls() {
    rejectingNewCalls = true;
    for (CallerConnection c : List.copyOf(connections)) {
      if (c.isIdle()) {
        c.close();
      }
    }
  }

  // Callers

  @Override
  public long currentMillis() {
    return clockMillis.getAsLong();
  }

  @Override
  public int maxBodyBytes() {
    return decider.config().limits().maxBodyBytes();
  }

  @Override
  public boolean allowsKeepAlive() {
    return !draining;
  }

  @Override
  public void onConnectionOpened(CallerConnection c) {
    connections.add(c);
  }

  @Override
  public void onConnectionClosed(CallerConnection c) {
    connections.remove(c);
  }

  @Override
  public void onMalformedRequest(int status) {
    metrics.meter("calls.malformed." + status).mark();
  }

  @Override
  public void onRequest(CallerConnection c, FullHttpRequest request) {
    arrivedMeter.mark();
    HttpHeaders h = request.headers();
    long now = clockMillis.getAsLong();
    OpenCall call =
        new OpenCall(
            ++lastCallNumber, c, request, parseNumber(h.get(headerNames.lastEventId()), -1), now);
    openCalls.put(call.number, call);
    c.setCurrentCall(call);
    if (rejectingNewCalls) {
      rejectCall(call, Rejection.NOT_READY, 0);
      return;
    }
    observeClocks(now);
    if (stallDetector.isProcessingBacklog(now)) {
      // Its caller may have left while the process stood still: that is read in the next turns.
      loop.schedule(() -> submitCall(call), BACKLOG_DELAY_MILLIS, TimeUnit.MILLISECONDS);
    } else {
      submitCall(call);
    }
  }

  private void submitCall(OpenCall call) {
    if (openCalls.containsKey(call.number)) {
      apply(decider.onCall(clockMillis.getAsLong(), toCallSpec(call)));
    }
  }

  private void observeClocks(long now) {
    long wall = System.currentTimeMillis();
    stallDetector.observe(now, wall);
    if (decider.detectSuspension(now, wall)) {
      LOG.warn("suspended, beliefs are confirmed anew");
      stateRefresher.run();
    }
  }

  @Override
  public void onCallerDisconnect(OpenCall call) {
    lostMeter.mark();
    apply(decider.onCallerDisconnect(clockMillis.getAsLong(), call.number));
    removeCall(call);
  }

  // Views

  @Override
  public void updateConfig(ServingConfig config) {
    decider.updateConfig(config);
  }

  @Override
  public void updateEvacuatedDomains(Set<String> domains) {
    decider.updateEvacuatedDomains(domains);
  }

  @Override
  public void recordVersion(String model, long version, long ageMillis) {
    long now = clockMillis.getAsLong();
    if (ageMillis == UNKNOWN_AGE) {
      decider.recordVersionOfUnknownAge(now, model, version);
    } else {
      decider.recordVersion(now - ageMillis, model, version);
    }
  }

  @Override
  public void recordConfirmation(long asked) {
    observeClocks(clockMillis.getAsLong());
    decider.recordConfirmation(asked);
  }

  @Override
  public void updateEndpoints(Collection<EndpointSpec> endpoints) {
    decider.updateEndpoints(clockMillis.getAsLong(), endpoints);
  }

  @Override
  public void onDirectoryRecovered() {
    decider.onDirectoryRecovered(clockMillis.getAsLong());
  }

  @Override
  public void updateWeightsSwitches(Map<String, WeightsSwitch> changeByHost) {
    decider.updateWeightsSwitches(clockMillis.getAsLong(), changeByHost);
  }

  @Override
  public void updateEntries(Map<String, String> addressByName) {
    decider.updateEntries(addressByName.keySet());
    openCallsReporter.ifPresent(s -> s.updateEntries(addressByName));
  }

  // Effects

  private void apply(List<CallEffect> effects) {
    for (CallEffect e : effects) {
      if (e instanceof CallEffect.Log l) {
        DecisionLog.write(l.decision());
      } else if (e instanceof CallEffect.Dispatch d) {
        dispatch(d);
      } else if (e instanceof CallEffect.CancelAttempt a) {
        cancelAttempt(a);
      } else if (e instanceof CallEffect.StartStream s) {
        startStream(s);
      } else if (e instanceof CallEffect.Complete d) {
        completeCall(d);
      } else if (e instanceof CallEffect.Reject r) {
        OpenCall call = openCalls.get(r.call());
        if (call != null) {
          rejectCall(call, r.rejection(), r.retryAfterMillis());
        }
      } else if (e instanceof CallEffect.AbortResponse c) {
        abortResponse(c);
      }
    }
  }

  private void dispatch(CallEffect.Dispatch d) {
    OpenCall call = openCalls.get(d.call());
    if (call == null) {
      return;
    }
    call.startAttempt(d.attempt());
    FullHttpRequest q =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            call.request.method(),
            call.request.uri(),
            call.request.content().retainedDuplicate(),
            DefaultHttpHeadersFactory.headersFactory().newHeaders(),
            EmptyHttpHeaders.INSTANCE);
    HttpHeaders to = q.headers();
    headerCopier.copyRequestHeaders(call.request.headers(), to, decider.config().requiresKeys());
    to.set(headerNames.deadline(), Long.toString(d.remainingMillis()));
    to.set(headerNames.expectedInstance(), d.endpoint().id());
    if (!d.workspace().isEmpty()) {
      to.set(headerNames.workspace(), d.workspace());
    }
    if (d.priority() >= 0) {
      to.set(headerNames.priority(), Integer.toString(Math.min(9, d.priority())));
    }
    if (d.expectedVersion() > 0) {
      to.set(headerNames.expectedVersion(), Long.toString(d.expectedVersion()));
    }
    if (d.resumeAfterEventId() >= 0) {
      to.set(headerNames.lastEventId(), Long.toString(d.resumeAfterEventId()));
    }
    if (q.content().isReadable() || HttpUtil.isContentLengthSet(call.request)) {
      HttpUtil.setContentLength(q, q.content().readableBytes());
    }
    WireRequest wire =
        new WireRequest(
            d.endpoint().address(),
            q,
            headerNames.requestId(),
            d.maxConnections(),
            CONNECT_TIMEOUT_MILLIS,
            MAX_CONNECTION_IDLE_MILLIS);
    // The loop runs the outcome of a send that fails at once after the effects at hand.
    call.exchange = client.send(wire, new AttemptListener(call, d.attempt()));
  }

  private void cancelAttempt(CallEffect.CancelAttempt a) {
    OpenCall call = openCalls.get(a.call());
    if (call != null && call.attempt == a.attempt() && call.exchange != null) {
      call.exchange.cancel();
      call.exchange = null;
    }
  }

  private void startStream(CallEffect.StartStream s) {
    OpenCall call = openCalls.get(s.call());
    if (call == null) {
      return;
    }
    call.streaming = true;
    if (!call.responseStarted) {
      call.responseStarted = true;
      HttpResponse r = new DefaultHttpResponse(HttpVersion.HTTP_1_1, call.responseHead.status());
      headerCopier.copyResponseHeaders(call.responseHead.headers(), r.headers());
      call.callerConnection.startResponse(r);
      call.callerConnection.flush();
    }
  }

  private void completeCall(CallEffect.Complete d) {
    OpenCall call = openCalls.get(d.call());
    if (call == null) {
      return;
    }
    answeredMeter.mark();
    latencyHistogram.update(clockMillis.getAsLong() - call.arrivedAt);
    call.exchange = null;
    if (call.responseStarted) {
      removeCall(call);
      call.callerConnection.completeResponse();
      return;
    }
    FullHttpResponse r =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            call.responseHead.status(),
            call.responseBody.retainedDuplicate());
    headerCopier.copyResponseHeaders(call.responseHead.headers(), r.headers());
    removeCall(call);
    call.callerConnection.writeResponse(r);
  }

  private void rejectCall(OpenCall call, Rejection rejection, long retryAfterMillis) {
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
    String id = call.request.headers().get(headerNames.requestId());
    if (id != null) {
      r.headers().set(headerNames.requestId(), id);
    }
    if (status == HttpResponseStatus.SERVICE_UNAVAILABLE) {
      r.headers()
          .set(
              HttpHeaderNames.RETRY_AFTER,
              String.format(Locale.ROOT, "%.2f", retryAfterMillis / MILLIS_PER_SECOND));
    }
    removeCall(call);
    call.callerConnection.writeResponse(r);
  }

  private void abortResponse(CallEffect.AbortResponse c) {
    OpenCall call = openCalls.get(c.call());
    if (call != null) {
      lostMeter.mark();
      if (call.exchange != null) {
        call.exchange.cancel();
      }
      removeCall(call);
      call.callerConnection.abortResponse();
    }
  }

  // Helpers

  private CallSpec toCallSpec(OpenCall call) {
    HttpHeaders h = call.request.headers();
    String uri = call.request.uri();
    int query = uri.indexOf('?');
    String host = h.get(HttpHeaderNames.HOST, "").toLowerCase(Locale.ROOT);
    int port = host.indexOf(':');
    String bearer = h.get(HttpHeaderNames.AUTHORIZATION, "");
    String tokens = h.get(headerNames.tokenCounts(), "");
    int comma = tokens.indexOf(',');
    return new CallSpec(
        call.number,
        h.get(headerNames.requestId(), ""),
        port < 0 ? host : host.substring(0, port),
        query < 0 ? uri : uri.substring(0, query),
        bearer.startsWith(BEARER_PREFIX) ? bearer.substring(BEARER_PREFIX.length()).strip() : "",
        parseNumber(h.get(headerNames.deadline()), Integer.MAX_VALUE),
        comma < 0 ? 0 : parseNumber(tokens.substring(0, comma), 0),
        comma < 0 ? 0 : parseNumber(tokens.substring(comma + 1), 0),
        parseNumber(h.get(headerNames.lengthHint()), 0),
        call.eventDecoder.lastEventId());
  }

  private void removeCall(OpenCall call) {
    if (openCalls.remove(call.number) != null) {
      call.release();
    }
  }

  private void sweep() {
    observeClocks(clockMillis.getAsLong());
    if (decider.openCallCount() > 0) {
      apply(decider.sweep(clockMillis.getAsLong()));
    }
  }

  private void closeTimedOutConnections() {
    long now = clockMillis.getAsLong();
    ServingConfig.CallerLimits limits = decider.config().limits();
    for (CallerConnection c : List.copyOf(connections)) {
      c.closeIfTimedOut(now, limits.headerTimeoutMillis(), limits.idleTimeoutMillis());
    }
  }

  private static long parseNumber(String text, long otherwise) {
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
  private final class AttemptListener implements WireListener {

    private final OpenCall call;
    private final int attempt;

    AttemptListener(OpenCall call, int attempt) {
      this.call = call;
      this.attempt = attempt;
    }

    @Override
    public void onHead(HttpResponse head) {
      call.responseHead = head;
      HttpHeaders h = head.headers();
      String load = h.get(headerNames.endpointLoad(), "");
      String[] parts = load.split(",");
      boolean told = parts.length >= 2;
      ResponseHead answer =
          new ResponseHead(
              head.status().code(),
              h.contains(headerNames.notExecuted()),
              head.status().code() == STATUS_MISDIRECTED_REQUEST,
              h.contains(headerNames.responseSignature()),
              parseNumber(h.get(headerNames.weightsVersion()), 0),
              told ? (int) parseNumber(parts[0], 0) : -1,
              told ? (int) parseNumber(parts[1], 0) : 0);
      apply(decider.onResponseHead(clockMillis.getAsLong(), call.number, attempt, answer));
    }

    @Override
    public void onContent(ByteBuf bytes) {
      if (call.attempt != attempt || !openCalls.containsKey(call.number)) {
        return;
      }
      if (!call.streaming) {
        if (call.responseBody == Unpooled.EMPTY_BUFFER) {
          call.responseBody = Unpooled.buffer(bytes.readableBytes());
        }
        call.responseBody.writeBytes(bytes);
        return;
      }
      byte[] raw = new byte[bytes.readableBytes()];
      bytes.readBytes(raw);
      List<byte[]> events = call.eventDecoder.decode(raw);
      for (byte[] e : events) {
        call.callerConnection.writeBodyPart(e);
      }
      if (!events.isEmpty()) {
        call.callerConnection.flush();
        decider.onResponseProgress(
            clockMillis.getAsLong(), call.number, attempt, call.eventDecoder.lastEventId());
      }
    }

    @Override
    public void onEnd() {
      if (call.attempt != attempt || !openCalls.containsKey(call.number)) {
        return;
      }
      long now = clockMillis.getAsLong();
      if (call.streaming && call.eventDecoder.hasPartialEvent()) {
        apply(
            decider.onAttemptFailure(
                now, call.number, attempt, true, "stream ended inside an event"));
      } else {
        apply(decider.onResponseEnd(now, call.number, attempt));
      }
    }

    @Override
    public void onFailure(boolean sent, String reason) {
      loop.execute(
          () ->
              apply(
                  decider.onAttemptFailure(
                      clockMillis.getAsLong(), call.number, attempt, sent, reason)));
    }
  }
}
