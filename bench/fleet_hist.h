#ifndef MR_BENCH_FLEET_HIST_H
#define MR_BENCH_FLEET_HIST_H

/* Latency histogram with a constant relative width of its ranges, so that
 * high percentiles are as exact as low ones. */

typedef struct fleet_hist fleet_hist_t;

fleet_hist_t *fleet_hist_create(void);
void fleet_hist_destroy(fleet_hist_t *hist);
void fleet_hist_add(fleet_hist_t *hist, double ms);
void fleet_hist_merge(fleet_hist_t *hist, const fleet_hist_t *other);
double fleet_hist_count(const fleet_hist_t *hist);

/** fleet_hist_percentile() - upper end of the range that holds it, in ms; 0
 * when the histogram is empty. */
double fleet_hist_percentile(const fleet_hist_t *hist, double percent);

#endif
