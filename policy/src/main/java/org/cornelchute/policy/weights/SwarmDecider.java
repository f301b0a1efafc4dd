package org.cornelchute.policy.weights;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collection;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import org.cornelchute.core.log.Decision;
import org.cornelchute.core.message.SwarmMessage;
import org.cornelchute.core.model.Member;
import org.cornelchute.policy.util.RendezvousHash;

/**
 * Brings one version's chunks to one agent and hands them on.
 *
 * <p>A few agents of each region, named by rendezvous hashing, read from outside the region, each
 * chunk by one of them; inside the region chunks are exchanged rarest first (Cohen, "Incentives
 * build robustness in BitTorrent", 2003) with a bounded number of neighbours and requests in
 * flight. When the region has seen no new chunk for a while, the next in rank imports in the place
 * of the one that should have.
 */
public final class SwarmDecider {

  private static final int CORRUPT_CHUNKS_BEFORE_BACKOFF = 3;
  private static final int MAX_COUNTED_TIMEOUTS = 4;

  /** Time without a new chunk of an importer after which others help it. */
  private static final long STALLED_IMPORTER_MILLIS = 300;

  private static final long CORRUPT_BACKOFF_MILLIS = 5_000;

  /** Pause after the first request to an agent that timed out; it doubles with each further one. */
  private static final long TIMEOUT_BACKOFF_MILLIS = 250;

  /** Time without an answer to a greeting after which an agent is taken not to run. */
  private static final long HANDSHAKE_TIMEOUT_MILLIS = 500;

  /** Time without a word after which an agent that exchanges chunks is taken to have stopped. */
  private static final long PEER_TIMEOUT_MILLIS = 1_000;

  private static final long REFUSAL_BACKOFF_MILLIS = 30;
  private static final long LOST_PEER_BACKOFF_MILLIS = 3_000;
  private static final long HANDSHAKE_INTERVAL_MILLIS = 2_000;
  private static final double LATENCY_SMOOTHING = 0.1;
  private static final double TIMEOUT_FACTOR = 4.0;
  private static final double ENDGAME_FACTOR = 2.0;
  private static final long MIN_REQUEST_TIMEOUT_MILLIS = 500;
  private static final double NEW_CHUNK_GAP_SMOOTHING = 0.2;
  private static final double TAKEOVER_FACTOR = 4.0;
  private static final double MILLIS_PER_SECOND = 1_000.0;
  private static final String ORIGIN = "";

  private final String self;
  private final String region;
  private final String originRegion;
  private final Manifest manifest;
  private final SwarmOptions options;
  private final Random random;
  private final BitSet heldChunks;
  private final BitSet regionChunks = new BitSet();
  private final Map<String, Peer> peers = new TreeMap<>();
  private final Map<Integer, List<OpenRequest>> openRequests = new HashMap<>();
  private final Map<Integer, Long> lastProgressByImporter = new HashMap<>();
  private final Deque<QueuedUpload> uploadQueue = new ArrayDeque<>();
  private List<String> importRanking = List.of();
  private String sourceRegion;
  private boolean uploading;
  private boolean complete;
  private double meanLatencyMillis;
  private long lastNewChunkAt;
  private double meanNewChunkGapMillis;
  private long nextHandshakeAt;
  private long importsPausedUntil;
  private long nextRemoteImportAt;
  private int importsInFlight;
  private int neighborRequestsInFlight;

  /**
   * Creates a decider.
   *
   * @param self member id of this agent
   * @param region region it stands in
   * @param originRegion region of the origin
   * @param manifest the version
   * @param held chunks at hand already, from an earlier version
   * @param options limits
   * @param seed seed of the random choices
   * @param now present time
   */
  public SwarmDecider(
      String self,
      String region,
      String originRegion,
      Manifest manifest,
      BitSet held,
      SwarmOptions options,
      long seed,
      long now) {
    this.self = self;
    this.region = region;
    this.originRegion = originRegion;
    this.sourceRegion = region;
    this.manifest = manifest;
    this.options = options;
    this.random = new Random(seed);
    this.heldChunks = (BitSet) held.clone();
    this.regionChunks.or(held);
    this.lastNewChunkAt = now;
    this.meanLatencyMillis = options.maxRequestTimeoutMillis() / TIMEOUT_FACTOR;
  }

  // Accessors

  /** Returns the number of chunks held. */
  public int heldChunkCount() {
    return heldChunks.cardinality();
  }

  /** Returns whether every chunk is held. */
  public boolean isComplete() {
    return complete;
  }

  /** Returns how far the exchange has come, for the log; never null. */
  public SwarmProgress progress(long now) {
    int near = 0;
    int greeted = 0;
    int resting = 0;
    int busy = 0;
    for (Peer p : peers.values()) {
      if (p.region.equals(region)) {
        near++;
        greeted += p.handshakeDone ? 1 : 0;
        resting += now < p.backoffUntil ? 1 : 0;
        busy += p.requestsInFlight > 0 ? 1 : 0;
      }
    }
    return new SwarmProgress(
        heldChunks.cardinality(),
        manifest.chunks().size(),
        regionChunks.cardinality(),
        neighborRequestsInFlight,
        importsInFlight,
        uploadQueue.size(),
        near,
        greeted,
        resting,
        busy);
  }

  /** Returns the chunks waiting to be sent. */
  public int queuedUploadCount() {
    return uploadQueue.size();
  }

  // Inputs

  /** Takes the agents that want or hold this version, this one excluded. */
  public List<SwarmEffect> onMembersChanged(long now, Collection<Member> wanting) {
    Set<String> present = new HashSet<>();
    for (Member m : wanting) {
      if (m.id().equals(self)) {
        continue;
      }
      present.add(m.id());
      Peer old = peers.get(m.id());
      if (old == null || old.boot != m.boot() || !old.address.equals(m.address())) {
        if (old != null) {
          closeRequests(old.id);
        }
        peers.put(m.id(), new Peer(m.id(), m.address(), m.region(), m.boot()));
      }
    }
    for (String gone : new ArrayList<>(peers.keySet())) {
      if (!present.contains(gone)) {
        closeRequests(gone);
        uploadQueue.removeIf(u -> u.peer.equals(gone));
        peers.remove(gone);
      }
    }
    sourceRegion = findSourceRegion();
    updateImportRanking(now);
    List<SwarmEffect> effects = new ArrayList<>();
    sendHandshakes(now, effects);
    startRequests(now, effects);
    return effects;
  }

  /** Handles a message from another agent about this version. */
  public List<SwarmEffect> onMessage(long now, String from, SwarmMessage message) {
    List<SwarmEffect> effects = new ArrayList<>();
    Peer p = peers.get(from);
    if (p == null) {
      return effects;
    }
    markResponsive(now, p);
    if (message instanceof SwarmMessage.Bitfield m) {
      p.held.clear();
      p.held.or(BitSet.valueOf(m.heldChunks()));
      p.held.clear(manifest.chunks().size(), Math.max(manifest.chunks().size(), p.held.length()));
      p.handshakeDone = true;
      addRegionChunks(now, p, p.held);
      if (m.wantsReply()) {
        sendHolding(effects, p, false);
      }
    } else if (message instanceof SwarmMessage.Have m && m.chunk() < manifest.chunks().size()) {
      p.held.set(m.chunk());
      p.queuedUploads = m.queueLength();
      addRegionChunks(now, p, p.held);
    } else if (message instanceof SwarmMessage.ChunkRequest m) {
      handleChunkRequest(effects, p, m.chunk());
    } else if (message instanceof SwarmMessage.ChunkRefused m) {
      if (m.chunkMissing()) {
        p.held.clear(m.chunk());
      }
      p.backoffUntil = now + REFUSAL_BACKOFF_MILLIS;
      closeRequest(m.chunk(), from);
    }
    startRequests(now, effects);
    return effects;
  }

  /**
   * Takes a chunk.
   *
   * @param from member id of the sender, or empty for the origin
   * @param valid whether the bytes verified against the manifest
   * @return effects; the duty keeps the bytes only if {@code valid}
   */
  public List<SwarmEffect> onChunk(long now, String from, int chunk, int queued, boolean valid) {
    List<SwarmEffect> effects = new ArrayList<>();
    Peer p = peers.get(from);
    OpenRequest r = closeRequest(chunk, from);
    if (p != null) {
      markResponsive(now, p);
      p.queuedUploads = queued;
    }
    if (!valid) {
      log(effects, "distrust", chunk, from, "chunk did not verify");
      if (p != null) {
        p.consecutiveCorruptChunks++;
        p.held.clear(chunk);
        p.backoffUntil =
            now
                + (p.consecutiveCorruptChunks >= CORRUPT_CHUNKS_BEFORE_BACKOFF
                    ? CORRUPT_BACKOFF_MILLIS * p.consecutiveCorruptChunks
                    : 0);
      }
      startRequests(now, effects);
      return effects;
    }
    if (r != null && p != null) {
      meanLatencyMillis += LATENCY_SMOOTHING * (now - r.sentAt - meanLatencyMillis);
      p.consecutiveCorruptChunks = 0;
      p.consecutiveTimeouts = 0;
    }
    if (!heldChunks.get(chunk)) {
      heldChunks.set(chunk);
      if (!regionChunks.get(chunk)) {
        regionChunks.set(chunk);
        lastProgressByImporter.put(importerIndex(chunk), now);
        recordNewChunk(now);
      }
      for (Peer each : peers.values()) {
        if (each.handshakeDone && !each.held.get(chunk)) {
          send(effects, each, new SwarmMessage.Have(manifest.digest(), chunk, uploadQueue.size()));
        }
      }
    }
    if (heldChunks.cardinality() == manifest.chunks().size() && !complete) {
      complete = true;
      effects.add(new SwarmEffect.Complete());
    }
    startRequests(now, effects);
    return effects;
  }

  /** Handles a read from the origin that failed; others get time to succeed before the next. */
  public List<SwarmEffect> onOriginFailure(long now, int chunk) {
    List<SwarmEffect> effects = new ArrayList<>();
    closeRequest(chunk, ORIGIN);
    importsPausedUntil = now + options.takeoverMillis() / 2 + random.nextInt(200);
    startRequests(now, effects);
    return effects;
  }

  /** Handles a chunk that has left over the link. */
  public List<SwarmEffect> onUploadCompleted(long now) {
    List<SwarmEffect> effects = new ArrayList<>();
    uploading = false;
    startUpload(effects);
    return effects;
  }

  /** Handles the loss of the connection to an agent. */
  public List<SwarmEffect> onPeerLost(long now, String id) {
    List<SwarmEffect> effects = new ArrayList<>();
    Peer p = peers.get(id);
    if (p != null) {
      uploadQueue.removeIf(u -> u.peer.equals(id));
      markLost(now, p);
      updateImportRanking(now);
    }
    startRequests(now, effects);
    return effects;
  }

  /** Advances timeouts, greetings and take-over. */
  public List<SwarmEffect> tick(long now) {
    long limit =
        Math.min(
            options.maxRequestTimeoutMillis(),
            Math.max(MIN_REQUEST_TIMEOUT_MILLIS, (long) (meanLatencyMillis * TIMEOUT_FACTOR)));
    for (Map.Entry<Integer, List<OpenRequest>> e : new ArrayList<>(openRequests.entrySet())) {
      for (OpenRequest r : new ArrayList<>(e.getValue())) {
        long allowed = r.peer.equals(ORIGIN) ? 2 * options.maxRequestTimeoutMillis() : limit;
        if (now - r.sentAt >= allowed) {
          closeRequest(e.getKey(), r.peer);
          backOffAfterTimeout(now, r.peer);
        }
      }
    }
    for (Peer p : peers.values()) {
      if (p.handshakeDone
          && p.consecutiveTimeouts > 0
          && now - p.lastMessageAt >= PEER_TIMEOUT_MILLIS) {
        markLost(now, p);
      }
    }
    if (now - lastNewChunkAt >= takeoverDelayMillis()) {
      recomputeRegionChunks();
    }
    updateImportRanking(now);
    List<SwarmEffect> effects = new ArrayList<>();
    sendHandshakes(now, effects);
    startRequests(now, effects);
    return effects;
  }

  // Requests

  private void startRequests(long now, List<SwarmEffect> effects) {
    if (complete) {
      return;
    }
    while (importsInFlight < options.maxImports() && now >= importsPausedUntil) {
      if (!startImport(now, effects)) {
        break;
      }
    }
    while (neighborRequestsInFlight < options.maxNeighborRequests()) {
      if (!requestRarestChunk(now, effects)) {
        break;
      }
    }
  }

  /** Starts the next import that is this agent's turn. */
  private boolean startImport(long now, List<SwarmEffect> effects) {
    int position = importRanking.indexOf(self);
    int count = manifest.chunks().size();
    long quiet = now - lastNewChunkAt;
    int allowedRank = (int) (quiet / takeoverDelayMillis());
    if (position < 0 || position >= options.importers() && allowedRank == 0) {
      return false;
    }
    int first = Math.floorMod(Long.hashCode(RendezvousHash.weight(self, manifest.digest())), count);
    for (int n = 0; n < count; n++) {
      int chunk = (first + n) % count;
      if (heldChunks.get(chunk) || regionChunks.get(chunk) || openRequests.containsKey(chunk)) {
        continue;
      }
      if (importRank(chunk, position) > allowedRank) {
        continue;
      }
      Peer remote = region.equals(sourceRegion) ? null : findRemoteHolder(now, chunk);
      // Outside the source region the origin is the last resort: its link carries few copies.
      if (remote != null || region.equals(sourceRegion) || allowedRank > 0) {
        beginImport(now, effects, chunk, remote);
        return true;
      }
    }
    return position < options.importers() && importForStalledImporter(now, effects);
  }

  /**
   * Imports a chunk of an importer that is behind, once the own ones are done.
   *
   * <p>One importer on a slow link would otherwise hold up its part for all. What it may have under
   * way already is left to it, and a random one of the rest is taken, so that those who help seldom
   * take the same.
   */
  private boolean importForStalledImporter(long now, List<SwarmEffect> effects) {
    Map<Integer, List<Integer>> missing = new TreeMap<>();
    for (int chunk = 0; chunk < manifest.chunks().size(); chunk++) {
      if (!heldChunks.get(chunk) && !regionChunks.get(chunk) && !openRequests.containsKey(chunk)) {
        missing.computeIfAbsent(importerIndex(chunk), o -> new ArrayList<>()).add(chunk);
      }
    }
    List<Integer> behind = List.of();
    for (Map.Entry<Integer, List<Integer>> e : missing.entrySet()) {
      boolean halted =
          now - lastProgressByImporter.getOrDefault(e.getKey(), 0L) >= STALLED_IMPORTER_MILLIS;
      if (halted && e.getValue().size() > behind.size()) {
        behind = e.getValue();
      }
    }
    if (behind.size() <= options.maxImports()) {
      return false;
    }
    int chunk = behind.get(random.nextInt(behind.size()));
    Peer remote = region.equals(sourceRegion) ? null : findRemoteHolder(now, chunk);
    if (remote != null || region.equals(sourceRegion)) {
      beginImport(now, effects, chunk, remote);
      return true;
    }
    return false;
  }

  /** Returns this agent's place in the order of those that may import a chunk, from 0. */
  private int importRank(int chunk, int position) {
    return Math.floorMod(position - importerIndex(chunk), importRanking.size());
  }

  /** Returns which importer of the region a chunk falls to, from 0. */
  private int importerIndex(int chunk) {
    return chunk % Math.max(1, Math.min(options.importers(), importRanking.size()));
  }

  private void beginImport(long now, List<SwarmEffect> effects, int chunk, Peer remote) {
    if (options.remoteBytesPerSecond() > 0 && !region.equals(sourceRegion)) {
      // Live requests share the link between regions: each importer keeps to its part of the rate.
      int importers = Math.min(options.importers(), importRanking.size());
      double millis =
          MILLIS_PER_SECOND * manifest.sizeOf(chunk) * importers / options.remoteBytesPerSecond();
      nextRemoteImportAt = Math.max(nextRemoteImportAt, now) + (long) Math.ceil(millis);
      importsPausedUntil = Math.max(importsPausedUntil, nextRemoteImportAt);
    }
    String source = remote == null ? ORIGIN : remote.id;
    openRequests
        .computeIfAbsent(chunk, c -> new ArrayList<>(2))
        .add(new OpenRequest(source, now, true));
    importsInFlight++;
    if (remote == null) {
      effects.add(new SwarmEffect.FetchOrigin(chunk));
    } else {
      remote.requestsInFlight++;
      send(effects, remote, new SwarmMessage.ChunkRequest(manifest.digest(), chunk));
    }
    log(effects, "import", chunk, remote == null ? "origin" : remote.id, "importer of its region");
  }

  private Peer findRemoteHolder(long now, int chunk) {
    Peer best = null;
    for (Peer p : peers.values()) {
      boolean usable = !p.region.equals(region) && p.held.get(chunk) && now >= p.backoffUntil;
      if (usable && (best == null || p.backlog() < best.backlog())) {
        best = p;
      }
    }
    return best;
  }

  /** Asks a neighbour for the rarest chunk that one of them can send now. */
  private boolean requestRarestChunk(long now, List<SwarmEffect> effects) {
    int count = manifest.chunks().size();
    int rarest = Integer.MAX_VALUE;
    int choice = -1;
    Peer holder = null;
    int ties = 0;
    List<Peer> usable = availableNeighbors(now);
    if (usable.isEmpty()) {
      return false;
    }
    for (int chunk = heldChunks.nextClearBit(0);
        chunk < count;
        chunk = heldChunks.nextClearBit(chunk + 1)) {
      if (openRequests.containsKey(chunk)) {
        continue;
      }
      int holders = 0;
      Peer least = null;
      for (Peer p : usable) {
        if (p.held.get(chunk)) {
          holders++;
          boolean less = least == null || p.backlog() < least.backlog();
          if (less || p.backlog() == least.backlog() && random.nextInt(holders) == 0) {
            least = p;
          }
        }
      }
      if (least == null || holders > rarest) {
        continue;
      }
      ties = holders < rarest ? 1 : ties + 1;
      if (holders < rarest || random.nextInt(ties) == 0) {
        choice = chunk;
        holder = least;
      }
      rarest = holders;
    }
    if (holder == null) {
      return requestDuplicate(now, usable, effects);
    }
    requestFromNeighbor(now, effects, holder, choice);
    return true;
  }

  /** Near the end, asks a second holder for a chunk that is long in coming. */
  private boolean requestDuplicate(long now, List<Peer> usable, List<SwarmEffect> effects) {
    for (Map.Entry<Integer, List<OpenRequest>> e : openRequests.entrySet()) {
      OpenRequest first = e.getValue().get(0);
      if (e.getValue().size() > 1 || now - first.sentAt < meanLatencyMillis * ENDGAME_FACTOR) {
        continue;
      }
      for (Peer p : usable) {
        if (p.held.get(e.getKey()) && !p.id.equals(first.peer)) {
          requestFromNeighbor(now, effects, p, e.getKey());
          return true;
        }
      }
    }
    return false;
  }

  private void requestFromNeighbor(long now, List<SwarmEffect> effects, Peer p, int chunk) {
    openRequests
        .computeIfAbsent(chunk, c -> new ArrayList<>(2))
        .add(new OpenRequest(p.id, now, false));
    p.requestsInFlight++;
    neighborRequestsInFlight++;
    send(effects, p, new SwarmMessage.ChunkRequest(manifest.digest(), chunk));
  }

  private List<Peer> availableNeighbors(long now) {
    List<Peer> usable = new ArrayList<>();
    for (Peer p : peers.values()) {
      if (p.region.equals(region)
          && p.requestsInFlight < options.maxRequestsPerPeer()
          && now >= p.backoffUntil
          && !p.held.isEmpty()) {
        usable.add(p);
      }
    }
    return usable;
  }

  private OpenRequest closeRequest(int chunk, String peer) {
    List<OpenRequest> open = openRequests.get(chunk);
    if (open == null) {
      return null;
    }
    OpenRequest closed = null;
    Iterator<OpenRequest> each = open.iterator();
    while (each.hasNext()) {
      OpenRequest r = each.next();
      if (r.peer.equals(peer)) {
        each.remove();
        closed = r;
        break;
      }
    }
    if (open.isEmpty()) {
      openRequests.remove(chunk);
    }
    if (closed != null) {
      if (closed.isImport) {
        importsInFlight--;
      } else {
        neighborRequestsInFlight--;
      }
      Peer p = peers.get(peer);
      if (p != null) {
        p.requestsInFlight--;
      }
    }
    return closed;
  }

  private void closeRequests(String peer) {
    for (int chunk : new ArrayList<>(openRequests.keySet())) {
      closeRequest(chunk, peer);
    }
  }

  /** Leaves an agent alone for a while that did not answer in time: its link may be full. */
  private void backOffAfterTimeout(long now, String id) {
    Peer p = peers.get(id);
    if (p != null) {
      p.consecutiveTimeouts = Math.min(MAX_COUNTED_TIMEOUTS, p.consecutiveTimeouts + 1);
      p.backoffUntil =
          Math.max(p.backoffUntil, now + (TIMEOUT_BACKOFF_MILLIS << p.consecutiveTimeouts - 1));
    }
  }

  // Uploads

  private void handleChunkRequest(List<SwarmEffect> effects, Peer p, int chunk) {
    boolean lacking = chunk < 0 || chunk >= manifest.chunks().size() || !heldChunks.get(chunk);
    int ofPeer = 0;
    for (QueuedUpload u : uploadQueue) {
      if (u.peer.equals(p.id)) {
        ofPeer++;
      }
    }
    // One peer may hold only its share of the queue, so that a greedy one does not starve others.
    if (lacking
        || uploadQueue.size() >= options.uploadQueueCapacity()
        || ofPeer >= 2 * options.maxRequestsPerPeer()) {
      send(effects, p, new SwarmMessage.ChunkRefused(manifest.digest(), chunk, lacking));
      return;
    }
    uploadQueue.add(new QueuedUpload(p.id, p.address, chunk));
    startUpload(effects);
  }

  private void startUpload(List<SwarmEffect> effects) {
    if (uploading || uploadQueue.isEmpty()) {
      return;
    }
    QueuedUpload next = uploadQueue.poll();
    uploading = true;
    effects.add(new SwarmEffect.Upload(next.peer, next.address, next.chunk));
  }

  // Neighbours

  /** Returns the one region that reads from the origin: the origin's own if anyone is there. */
  private String findSourceRegion() {
    Set<String> regions = new HashSet<>();
    regions.add(region);
    for (Peer p : peers.values()) {
      regions.add(p.region);
    }
    return regions.contains(originRegion)
        ? originRegion
        : RendezvousHash.order(manifest.digest(), regions).get(0);
  }

  /** Forgets what an agent holds that is lost, or that answers no more on an open connection. */
  private void markLost(long now, Peer p) {
    closeRequests(p.id);
    p.backoffUntil = now + LOST_PEER_BACKOFF_MILLIS;
    p.lost = true;
    p.handshakeDone = false;
    p.consecutiveTimeouts = 0;
    p.held.clear();
    recomputeRegionChunks();
  }

  /** Counts what the region holds at present: the only holder of a chunk may be gone. */
  private void recomputeRegionChunks() {
    regionChunks.clear();
    regionChunks.or(heldChunks);
    for (Peer p : peers.values()) {
      if (p.region.equals(region)) {
        regionChunks.or(p.held);
      }
    }
  }

  /** Notes that an agent runs: one that was taken for lost may be asked again at once. */
  private void markResponsive(long now, Peer p) {
    if (p.lost) {
      p.lost = false;
      p.backoffUntil = now;
    }
    p.handshakeSentAt = 0;
    p.lastMessageAt = now;
  }

  /**
   * Orders the region's agents for imports.
   *
   * <p>The list may hold agents that left. One that was lost, that leaves a greeting unanswered or
   * falls silent is passed over until it is heard of: its part would wait for it otherwise. Those
   * that hold everything import nothing.
   */
  private void updateImportRanking(long now) {
    List<String> present = new ArrayList<>();
    present.add(self);
    for (Peer p : peers.values()) {
      boolean unanswered =
          p.handshakeSentAt > 0 && now - p.handshakeSentAt >= HANDSHAKE_TIMEOUT_MILLIS;
      boolean silent = p.handshakeDone && now - p.lastMessageAt >= PEER_TIMEOUT_MILLIS;
      boolean full = p.held.cardinality() == manifest.chunks().size();
      if (p.region.equals(region) && !p.lost && !unanswered && !silent && !full) {
        present.add(p.id);
      }
    }
    importRanking = RendezvousHash.order(manifest.digest(), present);
  }

  private void sendHandshakes(long now, List<SwarmEffect> effects) {
    if (now < nextHandshakeAt) {
      return;
    }
    nextHandshakeAt = now + HANDSHAKE_INTERVAL_MILLIS;
    List<Peer> near = new ArrayList<>();
    List<Peer> far = new ArrayList<>();
    for (Peer p : peers.values()) {
      if (p.region.equals(region)) {
        near.add(p);
      } else {
        // Any other region will do, so that the one near the origin does not carry all.
        far.add(p);
      }
    }
    // The weight is the same from both sides, so that most neighbours are mutual.
    Comparator<Peer> order = Comparator.comparingLong(p -> pairWeight(p.id));
    near.sort(order);
    far.sort(order);
    sendHandshakesToFirst(now, near, options.neighbors(), effects);
    int position = importRanking.indexOf(self);
    if (!region.equals(sourceRegion) && position >= 0 && position < options.importers()) {
      sendHandshakesToFirst(now, far, options.importers(), effects);
    }
  }

  private long pairWeight(String other) {
    return self.compareTo(other) < 0
        ? RendezvousHash.weight(self, other)
        : RendezvousHash.weight(other, self);
  }

  private void sendHandshakesToFirst(
      long now, List<Peer> ordered, int count, List<SwarmEffect> effects) {
    for (Peer p : ordered.subList(0, Math.min(count, ordered.size()))) {
      if (!p.handshakeDone) {
        p.handshakeSentAt = p.handshakeSentAt == 0 ? now : p.handshakeSentAt;
        sendHolding(effects, p, true);
      }
    }
  }

  private void sendHolding(List<SwarmEffect> effects, Peer p, boolean wantsReply) {
    send(
        effects,
        p,
        new SwarmMessage.Bitfield(manifest.digest(), heldChunks.toByteArray(), wantsReply));
  }

  private void addRegionChunks(long now, Peer p, BitSet held) {
    if (!p.region.equals(region)) {
      return;
    }
    boolean news = false;
    for (int c = held.nextSetBit(0); c >= 0; c = held.nextSetBit(c + 1)) {
      if (!regionChunks.get(c)) {
        regionChunks.set(c);
        lastProgressByImporter.put(importerIndex(c), now);
        news = true;
      }
    }
    if (news) {
      recordNewChunk(now);
    }
  }

  /** Takes a new chunk in the region as news, and how long it was in coming. */
  private void recordNewChunk(long now) {
    meanNewChunkGapMillis =
        meanNewChunkGapMillis == 0
            ? now - lastNewChunkAt
            : meanNewChunkGapMillis
                + NEW_CHUNK_GAP_SMOOTHING * (now - lastNewChunkAt - meanNewChunkGapMillis);
    lastNewChunkAt = now;
  }

  /** Returns the time without news after which the next in rank imports: long for slow links. */
  private long takeoverDelayMillis() {
    return Math.max(options.takeoverMillis(), (long) (TAKEOVER_FACTOR * meanNewChunkGapMillis));
  }

  private static void send(List<SwarmEffect> effects, Peer p, SwarmMessage m) {
    effects.add(new SwarmEffect.Send(p.id, p.address, m));
  }

  private void log(
      List<SwarmEffect> effects, String kind, int chunk, String choice, String reason) {
    String subject = manifest.model() + ":" + manifest.version() + "#" + chunk;
    effects.add(new SwarmEffect.Log(new Decision(kind, subject, "", List.of(), choice, reason, 0)));
  }

  private record OpenRequest(String peer, long sentAt, boolean isImport) {}

  private record QueuedUpload(String peer, String address, int chunk) {}
}
