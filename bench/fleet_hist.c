#include "fleet_hist.h"

#include <gsl/gsl_histogram.h>
#include <math.h>

#include "common/mem.h"

/* Bins from 10 us to 60 s, each 2 % wider than the one before. */
static const double lowest_ms = 0.01;
static const double highest_ms = 60000;
static const double bin_ratio = 1.02;

struct fleet_hist {
    gsl_histogram *histogram;
};

fleet_hist_t *
fleet_hist_create(void)
{
    fleet_hist_t *hist = MR_NEW(fleet_hist_t);
    size_t count = (size_t)ceil(log(highest_ms / lowest_ms) / log(bin_ratio));
    double *ranges = mr_calloc(count + 1, sizeof(*ranges));

    for (size_t i = 0; i <= count; i++) {
        ranges[i] = lowest_ms * pow(bin_ratio, (double)i);
    }
    hist->histogram = gsl_histogram_alloc(count);
    gsl_histogram_set_ranges(hist->histogram, ranges, count + 1);
    free(ranges);
    return hist;
}

void
fleet_hist_destroy(fleet_hist_t *hist)
{
    if (hist != NULL) {
        gsl_histogram_free(hist->histogram);
        free(hist);
    }
}

void
fleet_hist_add(fleet_hist_t *hist, double ms)
{
    /* GSL ignores values out of range. */
    gsl_histogram_increment(hist->histogram,
                            fmin(fmax(ms, lowest_ms), highest_ms));
}

void
fleet_hist_merge(fleet_hist_t *hist, const fleet_hist_t *other)
{
    gsl_histogram_add(hist->histogram, other->histogram);
}

double
fleet_hist_count(const fleet_hist_t *hist)
{
    return gsl_histogram_sum(hist->histogram);
}

double
fleet_hist_percentile(const fleet_hist_t *hist, double percent)
{
    double wanted = fleet_hist_count(hist) * percent / 100;
    double seen = 0;

    for (size_t i = 0; i < gsl_histogram_bins(hist->histogram); i++) {
        seen += gsl_histogram_get(hist->histogram, i);
        if (seen > 0 && seen >= wanted) {
            double lower;
            double upper;
            gsl_histogram_get_range(hist->histogram, i, &lower, &upper);
            return upper;
        }
    }
    return 0;
}
