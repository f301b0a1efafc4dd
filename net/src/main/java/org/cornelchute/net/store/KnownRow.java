package org.cornelchute.net.store;

import java.util.Arrays;

/**
 * What a process knows of one row of another writer, to distinguish a restored copy of the row from
 * one that was written again after the restore; must be used on the event loop only.
 *
 * <p>A copy contains only states of earlier epochs. A row whose version is above the baseline of
 * the epoch, or above every version known of this row, is none of them, and neither is another
 * value under a known version.
 */
public final class KnownRow {

  private final EpochTracker epochs;

  /** Row with the highest version that was taken in any epoch, null if none was. */
  private StoredRow highest;

  private boolean known;

  /** Last epoch of which the state of the row is certainly known, if it is known. */
  private long epoch;

  /** Creates an instance that knows no row. */
  public KnownRow(EpochTracker epochs) {
    this.epochs = epochs;
  }

  /**
   * Returns whether the state of the row may be of an earlier epoch only. A row that was written
   * since then replaces it under any version.
   */
  public boolean isOfEarlierEpoch() {
    return known && epoch != epochs.current();
  }

  /** Returns whether the store may have restored an offered row, which is then not a newer one. */
  public boolean mayBeRestored(StoredRow offered) {
    if (!isOfEarlierEpoch() || offered.version() > epochs.baseline()) {
      return false;
    }
    return highest == null
        || offered.version() < highest.version()
        || offered.version() == highest.version()
            && Arrays.equals(offered.value(), highest.value());
  }

  /**
   * Records a row that the process follows from now on.
   *
   * <p>A row that is not above the baseline may be of the copy, even if it is newer than the known
   * one: it was written before the restore, and the process did not read it then. The first row
   * counts as one of the current epoch.
   */
  public void take(StoredRow row) {
    if (!isOfEarlierEpoch() || row.version() > epochs.baseline()) {
      takeUnversioned();
    }
    if (highest == null || row.version() >= highest.version()) {
      highest = row;
    }
  }

  /** Records that the state of the row is known in the current epoch without the row itself. */
  public void takeUnversioned() {
    known = true;
    epoch = epochs.current();
  }
}
