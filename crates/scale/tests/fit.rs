//! The line through the points, and the sizes that points are taken at.

use indigomast_scale::fit::{Fit, Power, sizes};

fn line(fixed: f64, slope: f64) -> Vec<(f64, f64)> {
    sizes(10.0, 1e6).into_iter().map(|size| (size, fixed + slope * size)).collect()
}

#[test]
fn a_line_is_found_again_however_far_apart_its_points_are() {
    for (fixed, slope) in [(0.0, 1.0), (5000.0, 1.9), (1e6, 0.001), (3.0, 1500.0)] {
        let fit = Fit::of(&line(fixed, slope)).expect("points enough");
        assert!((fit.slope / slope - 1.0).abs() < 1e-6, "{fit:?}");
        assert!((fit.fixed - fixed).abs() < 1e-6 * fixed.max(1.0) + 1e-3 * slope, "{fit:?}");
        assert!(fit.spread < 1e-6 && fit.off.is_empty(), "{fit:?}");
        assert_eq!((fit.least, fit.most, fit.points), (10.0, 1e6, 11));
    }
}

#[test]
fn what_is_off_the_line_is_named() {
    let mut points = line(0.0, 2.0);
    points[7].1 *= 2.0;
    let fit = Fit::of(&points).expect("points enough");
    assert_eq!(fit.off, vec![points[7].0]);
    assert!(fit.spread > 0.1);
    // What grows with the square of the size is no line, and is not passed off as one.
    let squares: Vec<_> = sizes(10.0, 1e5).into_iter().map(|size| (size, size * size)).collect();
    let fit = Fit::of(&squares).expect("points enough");
    assert!(fit.off.len() > squares.len() / 2, "{fit:?}");
}

#[test]
fn what_should_not_grow_is_fitted_by_its_mean_and_says_where_it_does() {
    let flat: Vec<(f64, f64)> = sizes(10.0, 1e5).into_iter().map(|size| (size, 4.0)).collect();
    let fit = Fit::level(&flat).expect("points enough");
    assert_eq!((fit.fixed, fit.slope, fit.spread), (4.0, 0.0, 0.0));
    let grows: Vec<(f64, f64)> = sizes(10.0, 1e5).into_iter().map(|size| (size, size.log10())).collect();
    assert!(!Fit::level(&grows).expect("points enough").off.is_empty());
}

#[test]
fn an_extrapolation_says_how_far_it_goes() {
    let fit = Fit::of(&line(100.0, 3.0)).expect("points enough");
    let reach = fit.reach(1e7);
    assert!((reach.beyond - 10.0).abs() < 1e-9 && (reach.value / 3e7 - 1.0).abs() < 1e-3, "{reach:?}");
}

#[test]
fn what_grows_with_the_square_is_carried_on_as_a_square() {
    let squares: Vec<_> =
        sizes(10.0, 1e4).into_iter().map(|size| (size, 100.0 * size + size * size)).collect();
    let power = Power::of(&squares).expect("points enough");
    assert!(power.order > 1.7 && power.order < 2.1, "{power:?}");
    let reach = power.reach(1e5);
    assert!(reach.value / 1.001e10 > 0.7 && reach.value / 1.001e10 < 1.3, "{reach:?}");
}

#[test]
fn too_little_is_no_line() {
    assert_eq!(Fit::of(&[(10.0, 1.0), (100.0, 2.0)]), None);
    assert_eq!(Fit::of(&[(10.0, 0.0), (100.0, 0.0), (1000.0, 0.0)]), None);
    assert_eq!(Fit::of(&[(10.0, 1.0), (10.0, 2.0), (10.0, 3.0)]), None);
}

#[test]
fn sizes_are_two_to_an_order_and_end_where_they_are_told_to() {
    assert_eq!(sizes(10.0, 1000.0), [10.0, 30.0, 100.0, 300.0, 1000.0]);
    assert_eq!(sizes(10.0, 250.0), [10.0, 30.0, 100.0, 250.0]);
    assert_eq!(sizes(0.1, 1.0), [0.1, 0.30000000000000004, 1.0]);
}
